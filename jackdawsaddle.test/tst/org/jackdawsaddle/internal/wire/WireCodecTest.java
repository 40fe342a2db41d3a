package org.jackdawsaddle.internal.wire;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.internal.message.EntryLoad;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.Message;
import org.jackdawsaddle.internal.message.PeerMessage;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.internal.message.StartTask;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.message.TaskResult;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;
import org.jackdawsaddle.job.TaskRequest;
import org.jackdawsaddle.pool.Evacuation;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolStep;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that encoding and decoding a message yields an equal one. */
public class WireCodecTest {
    private static final NodeId NODE = new NodeId("node", Long.MAX_VALUE);
    private static final SubmissionId ID = SubmissionId.create(1_800_000_000_000L, new Random(1));
    private static final TaskKey KEY = new TaskKey(ID, 159);
    private static final TaskResult RESULT =
            new TaskResult(KEY, TaskResult.State.FAILED, "påse", TaskResult.Refusal.NO_ROOM, 1_234);

    @DataProvider
    public Object[][] messages() {
        JobRequest request =
                new JobRequest(ID, "team", "kind", 0, List.of(new TaskRequest("á", 5)));
        StartTask start = new StartTask(KEY, "kind", "work", 7, new Demand(0.5, 3, 2));
        List<Message> all =
                List.of(
                        new SidecarMessage.SidecarHello(
                                NODE, "t", "s", "d", 8, 64, Demand.NONE, true, 9, 10, true),
                        new SidecarMessage.TaskResults(3, List.of(RESULT)),
                        new SidecarMessage.Sealed(3, 4, 5, 6),
                        new SidecarMessage.LeaseRenewed(3, 4, 5),
                        new SidecarMessage.InquiryAnswer(3, 4, List.of(RESULT)),
                        new SidecarMessage.ConfigurationApplied(4),
                        new EntryMessage.Welcome(NODE, List.of("127.0.0.1:1")),
                        new EntryMessage.StartTasks(3, 4, List.of(start)),
                        new EntryMessage.StopTasks(3, 4, List.of(KEY)),
                        new EntryMessage.Seal(3, 4),
                        new EntryMessage.Release(3, 4),
                        new EntryMessage.RenewLease(3, 4, 5),
                        new EntryMessage.Inquiry(3, 4, 5, List.of(ID)),
                        new EntryMessage.TargetConfiguration(3, true, 5),
                        new PeerMessage.PeerHello(NODE, 5),
                        new PeerMessage.SubmitJob(6, request, 700),
                        jobAnswered(new JobAnswer.Complete(List.of("a", ""))),
                        jobAnswered(new JobAnswer.NotRun(ErrorCode.OVERLOADED, "why")),
                        jobAnswered(new JobAnswer.Failed(ErrorCode.TASK_FAILED, "why")),
                        jobAnswered(new JobAnswer.Pending(1, 2)),
                        new PeerMessage.JobMoved(6),
                        new PeerMessage.QueryJob(6, ID, "s"),
                        new PeerMessage.CancelJob(ID, "s"),
                        new PeerMessage.Heartbeat(5),
                        new PeerMessage.ConfigurationPush(5, "{}"),
                        new PeerMessage.StatusQuery(6),
                        new PeerMessage.StatusAnswer(6, "{}"));
        return all.stream().map(message -> new Object[] {message}).toArray(Object[][]::new);
    }

    private static final PoolJob JOB =
            new PoolJob(
                    "j",
                    "queue",
                    "payload",
                    List.of(
                            new PoolStep(
                                    2,
                                    new Demand(1.5, 64, 0),
                                    80,
                                    List.of(),
                                    Optional.empty(),
                                    Optional.of("r1-3"),
                                    1)),
                    0);

    @DataProvider
    public Object[][] poolMessages() {
        PoolMessage.Run run = new PoolMessage.Run("á.0.0.1", 2);
        List<PoolMessage.TaskReport> reports =
                Stream.of(PoolMessage.ReportKind.values())
                        .map(kind -> new PoolMessage.TaskReport(run, kind))
                        .toList();
        PoolMessage.StartTask task =
                new PoolMessage.StartTask(
                        run, "queue", "work", new Demand(0.001, Long.MAX_VALUE, 2));
        Demand overcommitted = new Demand(-0.5, -300, -2);
        List<PoolMessage> all =
                List.of(
                        new PoolMessage.Hello(
                                NODE,
                                "d",
                                "t",
                                "s",
                                new Demand(64, 4, 1),
                                List.of("a", "r1-1"),
                                7,
                                8),
                        new PoolMessage.Room(overcommitted, true, 3, 4, -1, List.of("j")),
                        new PoolMessage.UnsettledJobs(List.of("j", "k")),
                        new PoolMessage.TaskReports(reports),
                        new PoolMessage.Welcome(NODE, List.of("127.0.0.1:1")),
                        new PoolMessage.Start(1, 2, List.of(task)),
                        new PoolMessage.Stop(List.of(run)),
                        new PoolMessage.Resume(List.of(run)),
                        new PoolMessage.Ping(5, true, 9),
                        new PoolMessage.PeerHello(NODE, "127.0.0.1:1", 6, 7),
                        new PoolMessage.Members(List.of("127.0.0.1:1", "127.0.0.1:2")),
                        new PoolMessage.ConfigurationPush(8, "{}"),
                        new PoolMessage.JobCancellation("j"),
                        new PoolMessage.HandOver(1, JOB, 900),
                        new PoolMessage.HandOverAnswer(1, Optional.empty()),
                        new PoolMessage.HandOverAnswer(2, Optional.of(new PoolAnswer.Succeeded())),
                        new PoolMessage.HandOverAnswer(
                                3, Optional.of(new PoolAnswer.Failed("why"))),
                        new PoolMessage.HandOverAnswer(
                                4, Optional.of(new PoolAnswer.Refused("why", 1_000))),
                        new PoolMessage.HandOverAnswer(
                                5, Optional.of(new PoolAnswer.Abandoned("why"))),
                        new PoolMessage.HandOverCancellation(6),
                        new PoolMessage.Ping(5, false, 9, new EntryLoad(0.36, 400)),
                        new PoolMessage.EvacuationPush(new Evacuation(9, Set.of("a", "b"))));
        return all.stream().map(message -> new Object[] {message}).toArray(Object[][]::new);
    }

    private static Message jobAnswered(JobAnswer answer) {
        return new PeerMessage.JobAnswered(6, answer);
    }

    @Test(dataProvider = "poolMessages")
    public void decodedPoolMessageEqualsTheOriginal(Message message) {
        assertEquals(WireCodec.decode(WireCodec.encode(message)), message);
    }

    @Test(dataProvider = "messages")
    public void decodedMessageEqualsTheOriginal(Message message) {
        assertEquals(WireCodec.decode(WireCodec.encode(message)), message);
    }
}
