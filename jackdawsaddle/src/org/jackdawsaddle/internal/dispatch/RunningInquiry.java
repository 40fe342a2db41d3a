package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import org.jackdawsaddle.internal.message.TaskKey;

/**
 * An inquiry to a reconnected sidecar that it has not answered.
 *
 * @param number the number of the inquiry
 * @param tasks the running tasks that it asks about
 */
record RunningInquiry(long number, List<TaskKey> tasks) {}
