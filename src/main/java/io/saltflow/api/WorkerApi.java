package io.saltflow.api;

import io.saltflow.leader.LeaderCore;
import io.saltflow.leader.LeaderLease;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.protocol.WorkerCodec;
import io.saltflow.transport.HttpResponse;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP API for workers: answers heartbeats with commands. Only a leader with a valid lease answers
 * 200, since that renews the worker's lease. Not thread-safe: used on the event loop's thread.
 */
public final class WorkerApi {
  /** Status if another node leads; the body names that node if it is known. */
  public static final int MISDIRECTED = 421;

  /** Status if the leader itself must not answer at the moment. */
  public static final int UNAVAILABLE = 503;

  private static final Logger LOG = LoggerFactory.getLogger(WorkerApi.class);

  private final String host;
  private final LeaderLease leaderLease;
  private final Supplier<String> leaderHint;
  private final Supplier<LeaderCore> activeCore;
  private final Runnable onHigherToken;
  private final BooleanSupplier leaderSuspected;
  private final Consumer<WorkerHeartbeat> onMisdirected;

  /**
   * @param leaderHint returns the leader to redirect workers to, or {@code null} if it is not known
   * @param activeCore returns the leader core, or {@code null} if this node does not lead
   * @param onHigherToken called if a worker has seen a fencing token above this leader's term
   * @param leaderSuspected returns whether the leader may have failed, so that misdirected
   *     heartbeats are reported
   * @param onMisdirected receives the heartbeats that another node should answer
   */
  public WorkerApi(
      String host,
      LeaderLease leaderLease,
      Supplier<String> leaderHint,
      Supplier<LeaderCore> activeCore,
      Runnable onHigherToken,
      BooleanSupplier leaderSuspected,
      Consumer<WorkerHeartbeat> onMisdirected) {
    this.host = host;
    this.leaderLease = leaderLease;
    this.leaderHint = leaderHint;
    this.activeCore = activeCore;
    this.onHigherToken = onHigherToken;
    this.leaderSuspected = leaderSuspected;
    this.onMisdirected = onMisdirected;
  }

  /** Answers the heartbeat of a worker. */
  public HttpResponse handleHeartbeat(byte[] body, MonotonicTime now) {
    if (!leaderLease.isLeader()) {
      if (leaderSuspected.getAsBoolean()) {
        reportMisdirected(body);
      }
      return redirect();
    }
    WorkerHeartbeat heartbeat;
    try {
      heartbeat = WorkerCodec.decodeHeartbeat(MessagePackCodec.decode(body));
    } catch (InvalidMessageException exception) {
      return UserResponses.error(400, exception.getMessage());
    }
    if (heartbeat.fencingToken().compareTo(leaderLease.term()) > 0) {
      onHigherToken.run();
      return redirect();
    }
    LeaderCore core = activeCore.get();
    if (core == null || !leaderLease.mayRenewWorkerLeases(now)) {
      return HttpResponse.empty(UNAVAILABLE);
    }
    List<WorkerCommand> commands = core.onHeartbeat(heartbeat, leaderLease.mayLaunch(now), now);
    if (commands == null) {
      return HttpResponse.empty(UNAVAILABLE);
    }
    return HttpResponse.of(
        200, MessagePackCodec.encode(WorkerCodec.encodeCommands(leaderLease.term(), commands)));
  }

  private void reportMisdirected(byte[] body) {
    try {
      onMisdirected.accept(WorkerCodec.decodeHeartbeat(MessagePackCodec.decode(body)));
    } catch (InvalidMessageException exception) {
      LOG.debug("invalid misdirected heartbeat: {}", exception.getMessage());
    }
  }

  private HttpResponse redirect() {
    String name = leaderHint.get();
    MessageBody body = MessageBody.of();
    if (name != null && !name.equals(host)) {
      body.with(Wire.LEADER, name);
    }
    return HttpResponse.of(MISDIRECTED, MessagePackCodec.encode(body));
  }
}
