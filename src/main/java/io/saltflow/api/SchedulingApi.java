package io.saltflow.api;

import io.saltflow.deadlines.DailyDeadline;
import io.saltflow.deadlines.DeadlineRule;
import io.saltflow.leader.LaneSummary;
import io.saltflow.leader.LeaderCore;
import io.saltflow.model.JobId;
import io.saltflow.priority.Lane;
import io.saltflow.priority.LaneRules;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.records.DailyDeadlineCodec;
import io.saltflow.records.JobOutcome;
import io.saltflow.records.JobPhase;
import io.saltflow.records.JobRepository;
import io.saltflow.store.KeyValueClient;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * HTTP API by which operators inspect and override the scheduling order: {@code GET /queue}, {@code
 * POST /queue/ID}, {@code GET /moves}, {@code GET /ready[/QUEUE]}. Any node overrides a job's order
 * and answers readiness from the recorded state. Only the leader knows the queue and the
 * migrations; other nodes name the leader.
 */
public final class SchedulingApi {
  public static final String QUEUE_PATH = "/queue";
  static final String MIGRATIONS_PATH = "/moves";
  static final String READINESS_PATH = "/ready";
  public static final String LANE = "lane";
  public static final String LANES = "lanes";
  public static final String LINES = "lines";

  /** Value used in place of a lane name to move a job to the front of its own lane. */
  static final String FRONT = "front";

  /** Daily deadlines reported per queue: the open one and the one before it. */
  private static final int MAX_DEADLINES_PER_QUEUE = 2;

  private final JobRepository jobs;
  private final LaneRules lanes;
  private final Supplier<LeaderCore> activeCore;
  private final Supplier<String> leaderName;
  private final KeyValueClient store;
  private final List<DeadlineRule> deadlineRules;
  private final EventLoop loop;

  /**
   * @param activeCore returns the leader core, or {@code null} if this node does not lead
   * @param leaderName returns the leader's host, or {@code null} if it is not known
   */
  public SchedulingApi(
      JobRepository jobs,
      LaneRules lanes,
      Supplier<LeaderCore> activeCore,
      Supplier<String> leaderName,
      KeyValueClient store,
      List<DeadlineRule> deadlineRules,
      EventLoop loop) {
    this.jobs = jobs;
    this.lanes = lanes;
    this.activeCore = activeCore;
    this.leaderName = leaderName;
    this.store = store;
    this.deadlineRules = deadlineRules;
    this.loop = loop;
  }

  /** Returns whether this API serves a path. */
  public static boolean serves(String path) {
    return path.equals(QUEUE_PATH)
        || path.startsWith(QUEUE_PATH + "/")
        || path.equals(MIGRATIONS_PATH)
        || path.equals(READINESS_PATH)
        || path.startsWith(READINESS_PATH + "/");
  }

  /** Handles a request whose path this API {@link #serves}. */
  public void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    boolean post = method.equals("POST");
    if (path.startsWith(READINESS_PATH) && !post) {
      answerReadiness(
          path.length() > READINESS_PATH.length()
              ? path.substring(READINESS_PATH.length() + 1)
              : null,
          answer);
    } else if (post == !path.startsWith(QUEUE_PATH + "/")) {
      answer.accept(UserResponses.error(405, "use " + (post ? "GET" : "POST")));
    } else if (post) {
      setLane(path.substring(QUEUE_PATH.length() + 1), body, answer);
    } else if (activeCore.get() == null) {
      answer.accept(
          UserResponses.retryLater("that is known to the leader, " + leaderName.get(), 1));
    } else {
      MessageBody report =
          path.equals(QUEUE_PATH)
              ? queueReport(activeCore.get())
              : migrationReport(activeCore.get());
      answer.accept(HttpResponse.of(200, MessagePackCodec.encode(report)));
    }
  }

  private MessageBody queueReport(LeaderCore core) {
    List<Object> laneRows = new ArrayList<>();
    for (LaneSummary summary : core.queueView(loop.now())) {
      laneRows.add(
          MessageBody.of()
              .with(LANE, summary.lane())
              .with("jobs", summary.jobs())
              .with("tasks", summary.tasks())
              .with("why", summary.waitReason())
              .with("first", summary.firstJobs())
              .fields());
    }
    return MessageBody.of().with(LANES, laneRows);
  }

  private void answerReadiness(String queue, Consumer<HttpResponse> answer) {
    DailyDeadlineCodec.read(
        store,
        recorded -> {
          if (recorded == null) {
            answer.accept(UserResponses.retryLater("what is recorded can't be read now", 1));
            return;
          }
          List<String> lines = readinessLines(queue, recorded);
          answer.accept(
              queue != null && lines.isEmpty()
                  ? UserResponses.error(404, "no queue '" + queue + "'")
                  : HttpResponse.of(
                      200, MessagePackCodec.encode(MessageBody.of().with(LINES, lines))));
        });
  }

  private List<String> readinessLines(String queue, List<DailyDeadline> recorded) {
    List<String> lines = new ArrayList<>();
    for (DeadlineRule rule : deadlineRules) {
      if (queue != null && !queue.equals(rule.queue())) {
        continue;
      }
      List<DailyDeadline> deadlines =
          recorded.stream().filter(deadline -> deadline.queue().equals(rule.queue())).toList();
      deadlines
          .subList(Math.max(0, deadlines.size() - MAX_DEADLINES_PER_QUEUE), deadlines.size())
          .forEach(deadline -> lines.add(deadline.describe(loop.wallClockMs(), rule.zone())));
      if (deadlines.isEmpty()) {
        lines.add(rule.queue() + ": no morning has been open yet");
      }
    }
    return lines;
  }

  private static MessageBody migrationReport(LeaderCore core) {
    return MessageBody.of().with(LINES, core.decisions().migrationStatusLines());
  }

  private void setLane(String id, byte[] body, Consumer<HttpResponse> answer) {
    Lane lane = null;
    try {
      String name = MessagePackCodec.decode(body).text(LANE);
      lane = name.equals(FRONT) ? null : lanes.findByName(name);
      if (lane == null && !name.equals(FRONT)) {
        answer.accept(UserResponses.error(422, LANE + ": there is no lane '" + name + "'"));
        return;
      }
    } catch (InvalidMessageException exception) {
      answer.accept(UserResponses.error(400, exception.getMessage()));
      return;
    }
    if (!JobId.valid(id)) {
      answer.accept(UserResponses.error(404, "no such job"));
      return;
    }
    JobId job = new JobId(id);
    jobs.overrideOrder(job, lane, outcome -> answer.accept(setLaneReply(job, outcome)));
  }

  private static HttpResponse setLaneReply(JobId id, JobOutcome outcome) {
    if (outcome instanceof JobOutcome.Absent) {
      return UserResponses.error(404, "no such job");
    }
    if (!(outcome instanceof JobOutcome.Found found)) {
      return UserResponses.retryLater("whether " + id + " was moved can't be told now", 1);
    }
    return found.status().phase() == JobPhase.LIVE
        ? HttpResponse.of(200, MessagePackCodec.encode(MessageBody.of().with(Wire.ID, id.text())))
        : UserResponses.error(409, id + " is over");
  }
}
