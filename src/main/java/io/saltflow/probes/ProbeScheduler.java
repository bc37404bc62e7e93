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
 * Whom to probe next, by whom, and what the answers say: at a bounded rate over all services, each
 * service in turn and each of its replicas in turn. It knows no sockets and no clock.
 *
 * <p>A replica that one prober can't reach is asked by another where there is one, and counts as
 * failing only when both can't: a prober behind a cut would else take a sound version back. What
 * was not asked, or not answered by the prober, is not known at all.
 */
public final class ProbeScheduler {
  /**
   * What may be asked.
   *
   * @param probesPerS probes a second over all services
   * @param interval how often a replica is asked, if the rate allows it
   * @param timeout how long a replica may take
   */
  public record Limits(double probesPerS, TimeSpan interval, TimeSpan timeout) {}

  /** A prober that asks for longer than this after the timeout has lost the call or its answer. */
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

  /** To be asked again, by another than this one. */
  private record RetryProbe(ReplicaProbe target, String firstProber) {}

  /** A service's replicas in turn. */
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

    /** The next that is due, or null. */
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

  /** Creates a scheduler that knows no services. */
  public ProbeScheduler(Limits limits, MonotonicTime now) {
    this.limits = limits;
    budget = new RateLimiter(limits.probesPerS, limits.probesPerS, now);
  }

  /** The service's replicas that can be asked now; none: it is not probed. */
  public void setTargets(String service, Collection<ReplicaProbe> targets) {
    if (targets.isEmpty()) {
      services.remove(service);
    } else {
      services.computeIfAbsent(service, s -> new TargetQueue()).set(targets);
    }
  }

  /**
   * What to ask now.
   *
   * @param peers the controllers that probe for the leader, as far as it can hear them
   */
  public List<ProbeBatch> due(List<String> peers, MonotonicTime now) {
    expire(now);
    List<String> probers = new ArrayList<>(peers);
    probers.add("");
    Map<String, List<ReplicaProbe>> again = retries(probers, now);
    Map<String, List<ReplicaProbe>> fresh = new LinkedHashMap<>();
    List<TargetQueue> rotas = new ArrayList<>(services.values());
    int idle = 0;
    int most = ProbeFrame.MAX_TARGETS * probers.size();
    for (int taken = 0;
        idle < rotas.size() && taken < most && budget.canAcquire(1, now);
        nextService++) {
      ReplicaProbe target =
          rotas.get(Math.floorMod(nextService, rotas.size())).due(limits.interval, now);
      idle = target == null ? idle + 1 : 0;
      if (target != null) {
        budget.tryAcquire(1, now);
        String prober = probers.get(taken++ % probers.size());
        fresh.computeIfAbsent(prober, p -> new ArrayList<>()).add(target);
      }
    }
    List<ProbeBatch> out = new ArrayList<>();
    again.forEach((prober, targets) -> send(prober, targets, true, now, out));
    fresh.forEach((prober, targets) -> send(prober, targets, false, now, out));
    return out;
  }

  private Map<String, List<ReplicaProbe>> retries(List<String> probers, MonotonicTime now) {
    Map<String, List<ReplicaProbe>> out = new LinkedHashMap<>();
    for (int n = retries.size(); n > 0 && budget.tryAcquire(1, now); n--) {
      RetryProbe second = retries.poll();
      for (String prober : probers) {
        List<ReplicaProbe> mine = out.computeIfAbsent(prober, p -> new ArrayList<>());
        if (!prober.equals(second.firstProber) && mine.size() < ProbeFrame.MAX_TARGETS) {
          mine.add(second.target);
          break;
        }
      }
    }
    return out;
  }

  private void send(
      String prober,
      List<ReplicaProbe> targets,
      boolean second,
      MonotonicTime now,
      List<ProbeBatch> out) {
    if (!targets.isEmpty() && pendingBatches.size() < MAX_BATCHES) {
      ProbeBatch ask = new ProbeBatch(++lastBatch, prober, List.copyOf(targets));
      pendingBatches.put(
          ask.batch(),
          new PendingBatch(ask, second, now.plus(limits.timeout).plus(RESPONSE_GRACE)));
      out.add(ask);
    }
  }

  private void expire(MonotonicTime now) {
    for (Iterator<PendingBatch> it = pendingBatches.values().iterator(); it.hasNext(); ) {
      PendingBatch batch = it.next();
      if (now.after(batch.expiresAt)) {
        lostProbes += batch.probes.targets().size();
        it.remove();
      }
    }
  }

  /**
   * A prober's answers; what they say of replicas that are still there.
   *
   * @param times until the answers came, or one of {@link ProbeFrame}'s negative ones
   * @param others whether anybody else could be asked too
   */
  public List<ReplicaHealth> onResponse(
      String prober, long batch, List<Long> times, boolean others) {
    PendingBatch otherBatch = pendingBatches.get(batch);
    List<ReplicaHealth> out = new ArrayList<>();
    if (otherBatch == null
        || !otherBatch.probes.prober().equals(prober)
        || times.size() != otherBatch.probes.targets().size()) {
      return out;
    }
    pendingBatches.remove(batch);
    for (int i = 0; i < times.size(); i++) {
      ReplicaProbe target = otherBatch.probes.targets().get(i);
      TargetQueue rota = services.get(target.service());
      long ms = times.get(i);
      if (ms == ProbeFrame.NOT_PROBED) {
        lostProbes++;
      } else if (rota != null && rota.lastProbed.containsKey(target)) {
        completedProbes++;
        if (ms == ProbeFrame.UNREACHABLE && !otherBatch.isRetry && others) {
          retries.add(new RetryProbe(target, prober));
        } else {
          out.add(new ReplicaHealth(target, ms));
        }
      }
    }
    return out;
  }

  /** Probes that were made, and those that were asked for and not made. */
  public long[] counts() {
    return new long[] {completedProbes, lostProbes};
  }
}
