package io.saltflow.app;

import io.saltflow.bookkeeping.JobStore;
import io.saltflow.coordination.Leader;
import io.saltflow.lanes.Lane;
import io.saltflow.lanes.Lanes;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.HttpReply;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What operators ask about the order of work, and say of it: {@code GET /queue}, {@code POST
 * /queue/ID}, {@code GET /moves}. A job is moved by any node; what waits now, and why, only the
 * leader knows, and any other node says who that is.
 */
final class OrderApi {
  static final String QUEUE = "/queue";
  static final String MOVES = "/moves";
  static final String LANE = "lane";
  static final String LANES = "lanes";
  static final String LINES = "lines";
  static final String FRONT = "front";

  private final JobStore jobs;
  private final Lanes lanes;
  private final Supplier<Leader> leader;
  private final Supplier<String> leaderName;
  private final Supplier<Time> now;

  OrderApi(
      JobStore jobs,
      Lanes lanes,
      Supplier<Leader> leader,
      Supplier<String> leaderName,
      Supplier<Time> now) {
    this.jobs = jobs;
    this.lanes = lanes;
    this.leader = leader;
    this.leaderName = leaderName;
    this.now = now;
  }

  /** Whether the path is one of these. */
  static boolean serves(String path) {
    return path.equals(QUEUE) || path.startsWith(QUEUE + "/") || path.equals(MOVES);
  }

  void handle(String method, String path, byte[] body, Consumer<HttpReply> answer) {
    boolean post = method.equals("POST");
    if (post == (path.equals(QUEUE) || path.equals(MOVES))) {
      answer.accept(Replies.error(405, "use " + (post ? "GET" : "POST")));
    } else if (post) {
      move(path.substring(QUEUE.length() + 1), body, answer);
    } else if (leader.get() == null) {
      answer.accept(Replies.comeBack("that is known to the leader, " + leaderName.get(), 1));
    } else {
      Body told = path.equals(QUEUE) ? queue(leader.get()) : moves(leader.get());
      answer.accept(HttpReply.of(200, MsgPack.encode(told)));
    }
  }

  private Body queue(Leader core) {
    List<Object> out = new ArrayList<>();
    for (Leader.Line line : core.queue(now.get())) {
      out.add(
          Body.of()
              .with(LANE, line.lane())
              .with("jobs", line.jobs())
              .with("tasks", line.tasks())
              .with("why", line.why())
              .with("first", line.first())
              .fields());
    }
    return Body.of().with(LANES, out);
  }

  private static Body moves(Leader core) {
    return Body.of().with(LINES, core.movesTold());
  }

  private void move(String id, byte[] body, Consumer<HttpReply> answer) {
    Lane lane = null;
    try {
      String name = MsgPack.decode(body).text(LANE);
      lane = name.equals(FRONT) ? null : lanes.named(name);
      if (lane == null && !name.equals(FRONT)) {
        answer.accept(Replies.error(422, LANE + ": there is no lane '" + name + "'"));
        return;
      }
    } catch (BadMessage e) {
      answer.accept(Replies.error(400, e.getMessage()));
      return;
    }
    if (!JobId.valid(id)) {
      answer.accept(Replies.error(404, "no such job"));
      return;
    }
    JobId job = new JobId(id);
    jobs.move(job, lane, outcome -> answer.accept(told(job, outcome)));
  }

  private static HttpReply told(JobId id, JobStore.Outcome outcome) {
    if (outcome instanceof JobStore.Outcome.Absent) {
      return Replies.error(404, "no such job");
    }
    if (!(outcome instanceof JobStore.Outcome.Found found)) {
      return Replies.comeBack("whether " + id + " was moved can't be told now", 1);
    }
    return found.job().phase() == JobStore.Phase.LIVE
        ? HttpReply.of(200, MsgPack.encode(Body.of().with(Wire.ID, id.text())))
        : Replies.error(409, id + " is over");
  }
}
