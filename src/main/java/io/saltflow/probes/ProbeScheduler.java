package io.saltflow.probes;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.RateLimiter;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.ProbeFrame;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Schedules probes at a bounded rate over all services, round robin over services and over the
 * replicas of each, and evaluates the responses. It uses neither sockets nor a clock.
 *
 * <p>A replica that one prober cannot reach is probed by another if there is one, and counts as
 * failing only if both cannot reach it. Otherwise a partitioned prober could roll back a healthy
 * version. Probes that were not made, or whose results were lost, have no result.
 */
public final class ProbeScheduler {
  /**
   * Limits of probing.
   *
   * @param probesPerS probes per second over all services
   * @param interval minimum time between two probes of a replica
   * @param timeout how long a replica may take to respond
   */
  public record Limits(double probesPerS, TimeSpan interval, TimeSpan timeout) {}

  /** Time beyond the probe timeout after which a request or its response counts as lost. */
  private static final TimeSpan RESPONSE_GRACE = TimeSpan.seconds(2);

  private static final int MAX_BATCHES = 64;

  private final Limits limits;
  private final RateLimiter budget;
  private final Map<String, TargetQueue> services = new LinkedHashMap<>();
  private final Map<Long, PendingBatch> pendingBatches = new LinkedHashMap<>();
  private final ArrayDeque<RetryProbe> retries = new ArrayDeque<>();
  private long lastBatch;
  private int nextService;
  private long completedProbes;
  private long lostProbes;

  private record PendingBatch(ProbeBatch probes, boolean isRetry, MonotonicTime expiresAt) {}

  /** A probe to repeat from another prober than the first. */
  private record RetryProbe(ReplicaProbe target, String firstProber) {}

  /** The replicas of a service in round-robin order. */
  private static final class TargetQueue {
    private final Map<ReplicaProbe, MonotonicTime> lastProbed = new HashMap<>();
    private final ArrayDeque<ReplicaProbe> order = new ArrayDeque<>();

    void set(Collection<ReplicaProbe> targets) {
      Set<ReplicaProbe> now = new HashSet<>(targets);
      lastProbed.keySet().retainAll(now);
      order.removeIf(t -> !now.contains(t));
      for (ReplicaProbe replicaProbe : targets) {
        if (lastProbed.putIfAbsent(replicaProbe, MonotonicTime.LONG_AGO) == null) {
          order.addFirst(replicaProbe);
        }
      }
    }

    /** Returns the next replica that is due, or {@code null} if there is none. */
    ReplicaProbe due(TimeSpan every, MonotonicTime now) {
      ReplicaProbe next = order.peek();
      if (next == null || now.since(lastProbed.get(next)).compareTo(every) < 0) {
        return null;
      }
      order.poll();
      order.add(next);
      lastProbed.put(next, now);
      return next;
    }
  }

  /** Creates a scheduler without services. */
  public ProbeScheduler(Limits limits, MonotonicTime now) {
    this.limits = limits;
    budget = new RateLimiter(limits.probesPerS, limits.probesPerS, now);
  }

  /** Sets the replicas of a service to probe; an empty collection ends its probes. */
  public void setTargets(String service, Collection<ReplicaProbe> targets) {
    if (targets.isEmpty()) {
      services.remove(service);
    } else {
      services.computeIfAbsent(service, s -> new TargetQueue()).set(targets);
    }
  }

  /**
   * Returns the batches to send now.
   *
   * @param peers the reachable controllers that probe for the leader
   */
  public List<ProbeBatch> due(List<String> peers, MonotonicTime now) {
    expire(now);
    List<String> probers = new ArrayList<>(peers);
    probers.add("");
    Map<String, List<ReplicaProbe>> retryTargets = retries(probers, now);
    Map<String, List<ReplicaProbe>> newTargets = new LinkedHashMap<>();
    List<TargetQueue> queues = new ArrayList<>(services.values());
    int idle = 0;
    int most = ProbeFrame.MAX_TARGETS * probers.size();
    for (int taken = 0;
        idle < queues.size() && taken < most && budget.canAcquire(1, now);
        nextService++) {
      ReplicaProbe target =
          queues.get(Math.floorMod(nextService, queues.size())).due(limits.interval, now);
      idle = target == null ? idle + 1 : 0;
      if (target != null) {
        budget.tryAcquire(1, now);
        String prober = probers.get(taken++ % probers.size());
        newTargets.computeIfAbsent(prober, p -> new ArrayList<>()).add(target);
      }
    }
    List<ProbeBatch> out = new ArrayList<>();
    retryTargets.forEach((prober, targets) -> send(prober, targets, true, now, out));
    newTargets.forEach((prober, targets) -> send(prober, targets, false, now, out));
    return out;
  }

  private Map<String, List<ReplicaProbe>> retries(List<String> probers, MonotonicTime now) {
    Map<String, List<ReplicaProbe>> out = new LinkedHashMap<>();
    for (int n = retries.size(); n > 0 && budget.tryAcquire(1, now); n--) {
      RetryProbe retry = retries.poll();
      for (String prober : probers) {
        List<ReplicaProbe> mine = out.computeIfAbsent(prober, p -> new ArrayList<>());
        if (!prober.equals(retry.firstProber) && mine.size() < ProbeFrame.MAX_TARGETS) {
          mine.add(retry.target);
          break;
        }
      }
    }
    return out;
  }

  private void send(
      String prober,
      List<ReplicaProbe> targets,
      boolean isRetry,
      MonotonicTime now,
      List<ProbeBatch> out) {
    if (!targets.isEmpty() && pendingBatches.size() < MAX_BATCHES) {
      ProbeBatch batch = new ProbeBatch(++lastBatch, prober, List.copyOf(targets));
      pendingBatches.put(
          batch.batch(),
          new PendingBatch(batch, isRetry, now.plus(limits.timeout).plus(RESPONSE_GRACE)));
      out.add(batch);
    }
  }

  private void expire(MonotonicTime now) {
    for (Iterator<PendingBatch> it = pendingBatches.values().iterator(); it.hasNext(); ) {
      PendingBatch batch = it.next();
      if (now.after(batch.expiresAt)) {
        lostProbes += batch.probes.probes().size();
        it.remove();
      }
    }
  }

  /**
   * Handles a prober's response and returns the health of those replicas that are still targets.
   *
   * @param times the latencies in milliseconds, or one of {@link ProbeFrame}'s negative codes
   * @param others whether there is another prober
   */
  public List<ReplicaHealth> onResponse(
      String prober, long batch, List<Long> times, boolean others) {
    PendingBatch pending = pendingBatches.get(batch);
    List<ReplicaHealth> out = new ArrayList<>();
    if (pending == null
        || !pending.probes.prober().equals(prober)
        || times.size() != pending.probes.probes().size()) {
      return out;
    }
    pendingBatches.remove(batch);
    for (int i = 0; i < times.size(); i++) {
      ReplicaProbe target = pending.probes.probes().get(i);
      TargetQueue queue = services.get(target.service());
      long ms = times.get(i);
      if (ms == ProbeFrame.NOT_PROBED) {
        lostProbes++;
      } else if (queue != null && queue.lastProbed.containsKey(target)) {
        completedProbes++;
        if (ms == ProbeFrame.UNREACHABLE && !pending.isRetry && others) {
          retries.add(new RetryProbe(target, prober));
        } else {
          out.add(new ReplicaHealth(target, ms));
        }
      }
    }
    return out;
  }

  /** Returns the number of probes that were made, and of those requested but not made. */
  public long[] counts() {
    return new long[] {completedProbes, lostProbes};
  }
}
