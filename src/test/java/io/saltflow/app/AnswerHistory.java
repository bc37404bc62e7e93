package io.saltflow.app;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.HttpReply;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * What users were told, in order, judged by PROTOCOL: no answer is ahead of the record; an answer
 * to a question that was asked after another was told is not older than that; neither is one that
 * the same node gives after the other, whenever it was asked; and a job has one end.
 */
final class AnswerHistory {
  static final String LIVE = "LIVE";

  /** How far an answer says that a job has come. */
  private enum Age {
    NOT_ACCEPTED,
    ACCEPTED,
    OVER
  }

  /** A request of a user that is not answered yet. */
  record Question(JobId job, AnswersWorld.Kind kind, int node, int asked) {}

  private record Told(Question question, int at, int status, Age age, String phase) {}

  private final Function<JobId, String> recorded;
  private final Map<JobId, List<Told>> told = new HashMap<>();
  private final Set<JobId> submitted = new HashSet<>();
  private final Set<JobId> withdrawn = new HashSet<>();
  private final List<String> trace = new ArrayList<>();
  private int moment;
  private String fault;

  /**
   * @param recorded how the state service has a job now: null, {@link #LIVE}, or its end's name
   */
  AnswerHistory(Function<JobId, String> recorded) {
    this.recorded = recorded;
  }

  /** The first thing that was wrong, with all that was told; or null. */
  String fault() {
    return fault == null ? null : fault + "\n" + String.join("\n", trace);
  }

  void fail(String what) {
    fault = fault == null ? what : fault;
  }

  /** The state service has executed a request. */
  void moved() {
    moment++;
  }

  void acceptedBefore(JobId id) {
    submitted.add(id);
    Question q = new Question(id, AnswersWorld.Kind.SUBMIT, 0, moment);
    of(id).add(new Told(q, moment++, 201, Age.ACCEPTED, Wire.STATE_PENDING));
  }

  Question asked(JobId id, AnswersWorld.Kind kind, int node) {
    if (kind == AnswersWorld.Kind.SUBMIT) {
      submitted.add(id);
    } else if (kind == AnswersWorld.Kind.CANCEL) {
      withdrawn.add(id);
    }
    trace.add(++moment + ": " + kind + " " + id + " at node " + node);
    return new Question(id, kind, node, moment);
  }

  void told(Question q, HttpReply reply) {
    String phase = phase(reply);
    trace.add(++moment + ": " + q + " -> " + reply.status() + " " + phase);
    if (reply.status() == 503) {
      if (reply.retryAfterS() < 1) {
        fail("503 without Retry-After");
      }
      return;
    }
    Told now = new Told(q, moment, reply.status(), age(reply.status(), phase), phase);
    againstTheRecord(now);
    of(q.job).forEach(before -> compare(before, now));
    of(q.job).add(now);
  }

  private List<Told> of(JobId id) {
    return told.computeIfAbsent(id, i -> new ArrayList<>());
  }

  private static String phase(HttpReply reply) {
    try {
      return MsgPack.decode(reply.body()).textOr(Wire.STATE, null);
    } catch (BadMessage e) {
      throw new IllegalStateException(e);
    }
  }

  private static Age age(int status, String phase) {
    if (status / 100 != 2) {
      return Age.NOT_ACCEPTED;
    }
    return phase.equals(Wire.STATE_DONE) || phase.equals(Wire.STATE_CANCELLED)
        ? Age.OVER
        : Age.ACCEPTED;
  }

  private void againstTheRecord(Told now) {
    JobId id = now.question.job;
    String record = recorded.apply(id);
    if (now.age == Age.NOT_ACCEPTED) {
      return;
    }
    if (!submitted.contains(id)) {
      fail(now + " was never submitted");
    } else if (record == null) {
      fail(now + " has no record");
    } else if (now.age == Age.OVER && !record.equalsIgnoreCase(now.phase)) {
      fail(now + " is recorded as " + record);
    } else if (now.phase.equals(Wire.STATE_CANCELLED) && !withdrawn.contains(id)) {
      fail(now + " was not called off");
    }
  }

  private void compare(Told before, Told now) {
    boolean after = before.at < now.question.asked || before.question.node == now.question.node;
    if (after && now.age.compareTo(before.age) < 0) {
      fail(now + " is older than " + before);
    }
    if (before.age == Age.OVER && now.age == Age.OVER && !before.phase.equals(now.phase)) {
      fail(now + " contradicts " + before);
    }
  }
}
