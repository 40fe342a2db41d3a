package org.jackdawsaddle.process;

import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.standin.platform.PlatformFixture;

/**
 * Jobs whose callers send them to the first entry, lose their connections, and send them to the
 * second one after the resend delay.
 */
final class ResentJobs {
    /** Long enough to be still running when the second entry starts it. */
    private static final PlatformFixture.Work WORK = new PlatformFixture.Work(3, 4_000, 1);

    private static final long RESEND_MILLIS = 1_300;
    private static final long TIMEOUT_MILLIS = 12_000;
    private static final int FIRST_ENTRY = 0;
    private static final int SECOND_ENTRY = 1;

    private final SoakFleet mFleet;
    private final List<String> mIds = new ArrayList<>();
    private final List<ResettingCaller> mCallers = new ArrayList<>();

    /** Creates jobs that have not been sent. */
    ResentJobs(SoakFleet fleet, int count) {
        mFleet = fleet;
        for (int number = 0; number < count; number++) {
            mIds.add(String.format("%016x", number));
        }
    }

    /** Sends all jobs to the first entry. */
    void send() {
        for (String id : mIds) {
            ResettingCaller caller = new ResettingCaller();
            caller.send(request(FIRST_ENTRY, id));
            mCallers.add(caller);
        }
    }

    /** Resets all connections, and sends the jobs to the second entry after the resend delay. */
    void resetAndResend() {
        mCallers.forEach(ResettingCaller::reset);
        ProcessFleet.sleep(RESEND_MILLIS);
        mIds.forEach(id -> mFleet.mHttpClient.send(request(SECOND_ENTRY, id)));
    }

    private HttpRequest request(int entry, String id) {
        return mFleet.mFixture.jobRequest(
                entry,
                SoakFleet.QUEUE,
                id,
                WORK,
                TIMEOUT_MILLIS,
                mFleet.mClock.now() + TIMEOUT_MILLIS);
    }
}
