package io.saltflow.api;

import io.saltflow.model.JobId;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Records the responses to users in order and checks their consistency: no response is ahead of the
 * stored record; a response is not older than an earlier one if its request was sent after the
 * earlier response was received, or if both come from the same node; and a job has one final state.
 */
final class UserResponseHistory {
  static final String LIVE = "LIVE";

  /** Progress of a job according to a response. */
  private enum JobProgress {
    NOT_ACCEPTED,
    ACCEPTED,
    ENDED
  }

  /** A request of a user, sent at a logical time. */
  record Request(JobId job, UserApiSimulation.Kind kind, int node, int sentAt) {}

  private record Response(
      Request request, int receivedAt, int status, JobProgress progress, String phase) {}

  private final Function<JobId, String> recordedPhase;
  private final Map<JobId, List<Response>> responses = new HashMap<>();
  private final Set<JobId> submitted = new HashSet<>();
  private final Set<JobId> cancelled = new HashSet<>();
  private final List<String> trace = new ArrayList<>();
  private int time;
  private String fault;

  /**
   * @param recordedPhase returns the phase of a job in the store: {@code null} if it is absent,
   *     {@link #LIVE}, or its final phase
   */
  UserResponseHistory(Function<JobId, String> recordedPhase) {
    this.recordedPhase = recordedPhase;
  }

  /** Returns the first fault with the trace of requests and responses, or {@code null} if none. */
  String fault() {
    return fault == null ? null : fault + "\n" + String.join("\n", trace);
  }

  void fail(String message) {
    fault = fault == null ? message : fault;
  }

  /** Advances the logical time after the store has executed a request. */
  void onStoreStep() {
    time++;
  }

  void onAcceptedBefore(JobId id) {
    submitted.add(id);
    Request request = new Request(id, UserApiSimulation.Kind.SUBMIT, 0, time);
    responsesTo(id)
        .add(new Response(request, time++, 201, JobProgress.ACCEPTED, Wire.STATE_PENDING));
  }

  Request onRequest(JobId id, UserApiSimulation.Kind kind, int node) {
    if (kind == UserApiSimulation.Kind.SUBMIT) {
      submitted.add(id);
    } else if (kind == UserApiSimulation.Kind.CANCEL) {
      cancelled.add(id);
    }
    trace.add(++time + ": " + kind + " " + id + " at node " + node);
    return new Request(id, kind, node, time);
  }

  void onResponse(Request request, HttpResponse response) {
    String phase = phase(response);
    trace.add(++time + ": " + request + " -> " + response.status() + " " + phase);
    if (response.status() == 503) {
      if (response.retryAfterS() < 1) {
        fail("503 without Retry-After");
      }
      return;
    }
    Response current =
        new Response(request, time, response.status(), progressOf(response.status(), phase), phase);
    checkAgainstRecord(current);
    responsesTo(request.job).forEach(earlier -> checkOrder(earlier, current));
    responsesTo(request.job).add(current);
  }

  private List<Response> responsesTo(JobId id) {
    return responses.computeIfAbsent(id, i -> new ArrayList<>());
  }

  private static String phase(HttpResponse response) {
    try {
      return MessagePackCodec.decode(response.body()).textOr(Wire.STATE, null);
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private static JobProgress progressOf(int status, String phase) {
    if (status / 100 != 2) {
      return JobProgress.NOT_ACCEPTED;
    }
    return phase.equals(Wire.STATE_DONE) || phase.equals(Wire.STATE_CANCELLED)
        ? JobProgress.ENDED
        : JobProgress.ACCEPTED;
  }

  private void checkAgainstRecord(Response current) {
    JobId id = current.request.job;
    String record = recordedPhase.apply(id);
    if (current.progress == JobProgress.NOT_ACCEPTED) {
      return;
    }
    if (!submitted.contains(id)) {
      fail(current + " concerns a job that was never submitted");
    } else if (record == null) {
      fail(current + " concerns a job without a record");
    } else if (current.progress == JobProgress.ENDED && !record.equalsIgnoreCase(current.phase)) {
      fail(current + " contradicts the recorded phase " + record);
    } else if (current.phase.equals(Wire.STATE_CANCELLED) && !cancelled.contains(id)) {
      fail(current + " concerns a job that was never cancelled");
    }
  }

  private void checkOrder(Response earlier, Response current) {
    boolean after =
        earlier.receivedAt < current.request.sentAt || earlier.request.node == current.request.node;
    if (after && current.progress.compareTo(earlier.progress) < 0) {
      fail(current + " is older than " + earlier);
    }
    if (earlier.progress == JobProgress.ENDED
        && current.progress == JobProgress.ENDED
        && !earlier.phase.equals(current.phase)) {
      fail(current + " contradicts " + earlier);
    }
  }
}
