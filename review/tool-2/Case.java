import java.nio.file.Path;

/** A case: sets a deployment up, disturbs it or not, and checks a rule. */
interface Case {
    int HELD = 0;
    int BROKEN = 1;
    int NOT_RUN = 2;

    /**
     * Runs the case.
     *
     * @param trouble whether to bring the disruption about
     * @return {@link #HELD}, {@link #BROKEN} or {@link #NOT_RUN}
     */
    int run(Record record, boolean trouble) throws Exception;

    /** Runs a case, with its record in the folder that the first argument names, and exits. */
    static void main(String[] arguments, Case test) throws Exception {
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        int result;
        try {
            result = test.run(record, !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception | Error e) {
            e.printStackTrace();
            record.line("the case could not run: " + e);
            result = NOT_RUN;
        }
        System.exit(result);
    }
}
