package io.saltflow.cluster;

import io.saltflow.model.JobSpec;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Tracks the desired number and zones of a service job's replicas, and buffers start latencies and
 * unexpected exits until they are taken. For a job that is not a service, there is no limit and
 * nothing is recorded.
 */
public final class ServiceReplicas {
  private static final int UNKNOWN = -1;
  private static final int MAX_BUFFERED_EVENTS = 1000;

  /**
   * An exit that was not requested.
   *
   * @param failure whether the task itself failed, as opposed to its machine being lost
   */
  public record UnexpectedExit(String cause, boolean failure) {}

  /**
   * Numbers of a service's replicas by state, as this leader sees them.
   *
   * @param ready replicas that are running, including those on departing machines
   * @param available replicas on machines that are not departing that have been ready for the
   *     minimum time
   * @param unreachable replicas on unresponsive machines, which may still be serving behind a
   *     partition
   * @param placed replicas that are or may be on machines
   * @param excess available replicas beyond the desired number that are not being stopped yet
   */
  public record ReplicaCounts(int ready, int available, int unreachable, int placed, int excess) {}

  /**
   * The endpoint at which a running task can be probed.
   *
   * @param address the address of the machine's worker
   * @param index the index of the task
   */
  public record TaskEndpoint(String address, int index) {}

  private final JobSpec spec;
  private final boolean service;
  private final Collection<TaskPlacement> placements;

  /**
   * Maximum number of tasks on machines. While it is {@link #UNKNOWN}, tasks are neither started
   * nor stopped.
   */
  private int limit;

  /** Zones in which tasks may start, or {@code null} for all zones allowed by the job. */
  private Set<String> startZones;

  private Set<String> vacateFirstZones = Set.of();

  /** Number of tasks on departing machines. Each may be replaced before its machine is gone. */
  private int departing;

  private DisruptionBudget disruptionBudget;
  private final List<TimeSpan> startLatencies = new ArrayList<>();
  private final List<UnexpectedExit> unexpectedExits = new ArrayList<>();

  /**
   * Creates the replicas of one job.
   *
   * @param placements a live view of the job's placements
   */
  ServiceReplicas(JobSpec spec, boolean service, Collection<TaskPlacement> placements) {
    this.spec = spec;
    this.service = service;
    this.placements = placements;
    this.limit = service ? UNKNOWN : Integer.MAX_VALUE;
  }

  /** Sets the desired replicas and returns whether their number or their start zones changed. */
  public boolean setDesired(DesiredReplicas desired) {
    boolean changed = limit != desired.count() || !Objects.equals(startZones, desired.startZones());
    limit = desired.count();
    startZones = desired.startZones();
    vacateFirstZones = desired.vacateFirstZones();
    return changed;
  }

  /** Returns whether the rollout currently allows a replica to start in the zone. */
  public boolean mayStartIn(String zone) {
    return startZones == null || startZones.contains(zone);
  }

  /**
   * Returns the total number of tasks the job should have. Tasks on departing machines are replaced
   * while they still serve.
   */
  int desiredTasks() {
    if (limit == UNKNOWN) {
      return placements.size();
    }
    return Math.min(spec.tasks(), limit == 0 ? 0 : limit + departing);
  }

  /** Counts the replicas on departing machines and returns whether the number changed. */
  public boolean recountDeparting() {
    int count = 0;
    for (TaskPlacement placement : placements) {
      count += placement.machine.departing() ? 1 : 0;
    }
    boolean changed = count != departing;
    departing = count;
    return changed;
  }

  /** Returns the replicas beyond the desired number, as selected by {@link ExcessReplicas}. */
  public List<TaskPlacement> excess() {
    return limit == UNKNOWN || placements.size() <= limit
        ? List.of()
        : ExcessReplicas.select(placements, limit, vacateFirstZones);
  }

  /**
   * Returns the disruption budget of the service, or {@code null} if the job is not a service or
   * the budget is not known yet.
   */
  public DisruptionBudget disruptionBudget() {
    return disruptionBudget;
  }

  /** Sets the disruption budget, which is shared by all versions of the service. */
  public void setDisruptionBudget(DisruptionBudget budget) {
    disruptionBudget = budget;
  }

  /** Records the time from a replica's launch until it was running. */
  public void recordStartLatency(TimeSpan latency) {
    if (service && startLatencies.size() < MAX_BUFFERED_EVENTS) {
      startLatencies.add(latency);
    }
  }

  /** Returns and clears the start latencies recorded since the last call. */
  public List<TimeSpan> takeStartLatencies() {
    List<TimeSpan> out = List.copyOf(startLatencies);
    startLatencies.clear();
    return out;
  }

  /** Records an exit that was not requested. */
  public void recordUnexpectedExit(String cause, boolean failure) {
    if (service && unexpectedExits.size() < MAX_BUFFERED_EVENTS) {
      unexpectedExits.add(new UnexpectedExit(cause, failure));
    }
  }

  /** Returns and clears the unexpected exits recorded since the last call. */
  public List<UnexpectedExit> takeUnexpectedExits() {
    List<UnexpectedExit> out = List.copyOf(unexpectedExits);
    unexpectedExits.clear();
    return out;
  }

  /** Returns the endpoints of the running replicas on responsive machines. */
  public List<TaskEndpoint> servingEndpoints() {
    List<TaskEndpoint> out = new ArrayList<>();
    for (TaskPlacement placement : placements) {
      if (isServing(placement)) {
        out.add(new TaskEndpoint(placement.machine.heartbeats().address(), placement.index));
      }
    }
    return out;
  }

  /**
   * Returns whether the machine of each replica has sent a heartbeat since the given time, or is
   * known to be unresponsive.
   */
  public boolean isHeardSince(MonotonicTime since) {
    for (TaskPlacement placement : placements) {
      Machine machine = placement.machine;
      if (machine.isUp()
          && !machine.isUnresponsive()
          && machine.heartbeats().lastHeartbeatAt().before(since)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Counts the replicas by state.
   *
   * @param minReady the time for which a replica must have been ready to count as available
   */
  public ReplicaCounts counts(TimeSpan minReady, MonotonicTime now) {
    return counts(minReady, MonotonicTime.LONG_AGO, now);
  }

  /**
   * Counts the replicas by state.
   *
   * @param minReady the time for which a replica must have been ready to count as available
   * @param observedSince the time before which readiness does not count
   */
  public ReplicaCounts counts(TimeSpan minReady, MonotonicTime observedSince, MonotonicTime now) {
    MonotonicTime latestReady = new MonotonicTime(now.ms() - minReady.ms());
    boolean observedLongEnough = !latestReady.before(observedSince);
    int ready = 0;
    int available = 0;
    int unreachable = 0;
    for (TaskPlacement placement : placements) {
      if (placement.machine.isUnresponsive()) {
        unreachable++;
      } else if (isServing(placement)) {
        ready++;
        available += observedLongEnough && isAvailable(placement, latestReady) ? 1 : 0;
      }
    }
    int excess = 0;
    for (TaskPlacement placement : excess()) {
      boolean counted = observedLongEnough && isServing(placement);
      excess += counted && isAvailable(placement, latestReady) ? 1 : 0;
    }
    return new ReplicaCounts(ready, available, unreachable, placements.size(), excess);
  }

  private static boolean isServing(TaskPlacement placement) {
    return !placement.machine.isUnresponsive()
        && placement.state() == TaskPlacement.State.RUNNING
        && !placement.isStopping()
        && placement.runningSince() != null;
  }

  private static boolean isAvailable(TaskPlacement placement, MonotonicTime latestReady) {
    return !placement.machine.departing() && !placement.runningSince().after(latestReady);
  }
}
