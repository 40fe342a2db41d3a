import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator removes a queue and adds another one. With trouble, all open channels to the store
 * have gone silent just before, while new ones work.
 */
final class SilentStoreChannels {
    private static final long CONTACT_MILLIS = 3_000;
    private static final long APPLY_MILLIS = 2_000;
    private static final long SLACK_MILLIS = 50;
    private static final long WATCHED_MILLIS = 3_000;

    private SilentStoreChannels() {}

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, SilentStoreChannels::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        try (Rig rig = new Rig(record, 4, 3, 64_000)) {
            rig.configure(7, Rig.PREFIX, "/old/");
            rig.startAll();
            if (!rig.awaitReady(20_000)) {
                record.line("the system is not ready");
                return Case.NOT_RUN;
            }
            // Longer than contactMs: all machines are in touch.
            Record.sleep(4_000);
            rig.configure(9, Rig.PREFIX, "/old/");
            Record.sleep(100);
            long silentAt = record.now();
            if (trouble) {
                rig.mStoreProxy.silenceOpenChannels();
                record.line("all open channels to the store are silent from now on");
            }
            Record.sleep(100);
            rig.configure(11, Rig.PREFIX, "/new/");
            long acknowledgedAt = record.now();
            long judgedFrom =
                    Math.max(silentAt + CONTACT_MILLIS, acknowledgedAt + APPLY_MILLIS)
                            + SLACK_MILLIS;
            Record.sleep(judgedFrom - record.now());
            record.line("all machines are in touch again, and the version has to be in force");
            AtomicInteger stale = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; record.now() < judgedFrom + WATCHED_MILLIS; i++) {
                for (Rig.Machine entry : rig.mEntries) {
                    String id = String.format("%016x", clients.size());
                    clients.add(Thread.ofVirtual().start(() -> probe(rig, entry, id, stale)));
                }
                Record.sleep(200);
            }
            for (Thread client : clients) {
                client.join();
            }
            record.line(
                    (stale.get() > 0 ? "CONFIG is broken: " : "") + stale.get() + " of "
                            + 2 * clients.size() + " requests were handled by an older version");
            return stale.get() > 0 ? Case.BROKEN : Case.HELD;
        }
    }

    /** Hands a job in at the removed queue and one at the added queue. */
    private static void probe(Rig rig, Rig.Machine entry, String id, AtomicInteger stale) {
        String body = Rig.job(1, 1_000, 30);
        if (rig.sendTo(entry, "POST", "/old/" + id, body, 1_500).status() == 200) {
            stale.incrementAndGet();
        }
        if (rig.sendTo(entry, "POST", "/new/" + id, body, 1_500).status() == 404) {
            stale.incrementAndGet();
        }
    }
}
