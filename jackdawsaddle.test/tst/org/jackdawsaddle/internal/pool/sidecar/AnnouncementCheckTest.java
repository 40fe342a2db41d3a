package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.pool.TargetIncarnation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what {@link AnnouncementCheck} takes for an odd entry of another writer. */
public class AnnouncementCheckTest {
    private static final long NOW = 1_000_000;
    private static final Demand CAPACITY = new Demand(16, 1_000, 0);

    @DataProvider
    public Object[][] addresses() {
        return new Object[][] {
            {"10.2.0.31:8045", true},
            {"host-1.example:65535", true},
            {"[::1]:1", true},
            {"10.2.0.31:0", false},
            {"10.2.0.31:65536", false},
            {"10.2.0.31:-1", false},
            {"10.2.0.31:99999999999", false},
            {"10.2.0.31", false},
            {"10.2.0.31:", false},
            {":8045", false},
            {"10.2.0.31:8045/path", false},
            {"user@10.2.0.31:8045", false},
            {"no host:8045", false},
            {"", false},
            {null, false},
        };
    }

    @Test(dataProvider = "addresses")
    public void acceptsAHostAndAPort(String address, boolean accepted) {
        TargetIncarnation target = target(address, CAPACITY, 1, 1);
        assertEquals(
                AnnouncementCheck.oddField(target, NOW),
                accepted ? Optional.empty() : Optional.of("address"));
    }

    @DataProvider
    public Object[][] numbers() {
        return new Object[][] {
            {CAPACITY, 1, 0, ""},
            {CAPACITY, 1, NOW + 1_000, ""},
            {null, 1, 1, "capacity"},
            {new Demand(-1, 1, 0), 1, 1, "capacity"},
            {new Demand(Double.POSITIVE_INFINITY, 1, 0), 1, 1, "capacity"},
            {new Demand(Double.NaN, 1, 0), 1, 1, "capacity"},
            {new Demand(1, Long.MAX_VALUE, 0), 1, 1, "capacity"},
            {CAPACITY, -1, 1, "clock"},
            {CAPACITY, Long.MAX_VALUE, 1, "clock"},
            {CAPACITY, 1, -1, "startedAt"},
            {CAPACITY, 1, Long.MAX_VALUE, "startedAt"},
        };
    }

    @Test(dataProvider = "numbers")
    public void acceptsPlausibleNumbers(
            Demand capacity, long clock, long startedAt, String oddField) {
        TargetIncarnation target = target("10.2.0.31:8045", capacity, clock, startedAt);
        assertEquals(AnnouncementCheck.oddField(target, NOW).orElse(""), oddField);
    }

    private static TargetIncarnation target(
            String address, Demand capacity, long clock, long startedAt) {
        return new TargetIncarnation(
                "id", startedAt, 0, "ledger", address, capacity, List.of(), false, clock);
    }
}
