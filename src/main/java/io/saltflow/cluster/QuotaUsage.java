package io.saltflow.cluster;

import io.saltflow.fairshare.ShareGroup;
import io.saltflow.model.Resources;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks each team's quota usage by placed tasks, assigned tasks and messages held by consumers,
 * with an upper bound for unreconciled machines. The usage is updated incrementally, because
 * summing over all machines at each launch would grow with the cluster.
 */
public final class QuotaUsage {
  private final Map<String, Policy.TeamQuota> quotas;
  private final UsageByGroup placedUsage = new UsageByGroup();
  private final UsageByGroup assignedUsage = new UsageByGroup();
  private Resources unreconciledUsage = Resources.ZERO;
  private List<QueueDemand> queueDemands = List.of();

  /** Upper bound of rounding errors in summed amounts. */
  private static final double TOLERANCE = 1e-6;

  /** Amount beyond any limit, used where a limit of 0 means that there is none. */
  private static final double UNLIMITED = 1e9;

  /** Reservations within team limits, at most one for each team, by team name. */
  private final Map<String, QuotaReservation> reservations = new HashMap<>();

  /** Creates an empty usage for teams with these quotas, by team name. */
  public QuotaUsage(Map<String, Policy.TeamQuota> quotas) {
    this.quotas = quotas;
  }

  /** Adds a placed task of the job. */
  public void addPlaced(Job job) {
    placedUsage.add(job);
  }

  /** Removes a task of the job whose placement ended. */
  public void removePlaced(Job job) {
    placedUsage.remove(job);
  }

  /** Adds a task of the job that was assigned but has not been launched. */
  public void addAssigned(Job job) {
    assignedUsage.add(job);
    QuotaReservation reservation = reservations.get(job.spec.team());
    if (reservation != null) {
      reservation.onTaskAssigned(job);
    }
  }

  /** Removes an assigned task of the job that was launched or whose assignment was withdrawn. */
  public void removeAssigned(Job job) {
    assignedUsage.remove(job);
  }

  /**
   * Sets the upper bound of resources in use on unreconciled machines. It counts against every
   * team.
   */
  public void setUnreconciledUsage(Resources upperBound) {
    unreconciledUsage = upperBound;
  }

  /** Sets the resources that messages at consumers hold and that waiting messages would take. */
  public void setQueueDemands(List<QueueDemand> demands) {
    queueDemands = demands;
  }

  /**
   * Returns the resources that the team's messages hold, plus those wanted by messages ahead of the
   * job.
   */
  private Resources messageUsageAheadOf(Job job) {
    Resources sum = Resources.ZERO;
    for (QueueDemand demand : queueDemands) {
      if (demand.team().equals(job.spec.team())) {
        boolean ahead =
            demand.priority().higherThan(job.queueState().effectivePriority())
                || (demand.priority() == job.queueState().effectivePriority()
                    && demand.arrivedWallMs() < job.queueState().eligibleWallMs());
        sum = sum.plus(ahead ? demand.held().plus(demand.wanted()) : demand.held());
      }
    }
    return sum;
  }

  /** Returns whether the team has a limit on cores or GPUs. */
  public boolean hasLimit(String teamName) {
    Policy.TeamQuota quota = quotas.get(teamName);
    return quota != null && (quota.coreLimit() > 0 || quota.gpuLimit() > 0);
  }

  /**
   * Returns whether the team's limit allows a message to be delivered.
   *
   * @param jobDemandAhead the resources that jobs ahead of the message are still to take
   */
  public boolean mayDeliver(String team, Resources size, Resources jobDemandAhead) {
    Resources used = maxUsage(team).plus(jobDemandAhead);
    for (QueueDemand demand : queueDemands) {
      used = demand.team().equals(team) ? used.plus(demand.held()) : used;
    }
    return withinLimit(team, used.plus(size));
  }

  /** Returns the upper bound of the team's usage, including assigned tasks. */
  public Resources maxUsage(String team) {
    return maxPlacedUsage(team).plus(assignedUsage.usage(ShareGroup.ofTeam(team)));
  }

  private Resources maxPlacedUsage(String team) {
    return placedUsage.usage(ShareGroup.ofTeam(team)).plus(unreconciledUsage);
  }

  /** Returns the known usage of a class or team, including assigned tasks. */
  public Resources knownUsage(ShareGroup group) {
    return placedUsage.usage(group).plus(assignedUsage.usage(group));
  }

  /** Returns whether there is a reservation within the team's limit. */
  public boolean hasReservation(String team) {
    return reservations.containsKey(team);
  }

  /**
   * Reserves part of the team's limit until {@link #clearReservations}. An existing reservation is
   * kept.
   */
  public void reserve(String team, QuotaReservation reservation) {
    reservations.putIfAbsent(team, reservation);
  }

  /** Discards all reservations. Each round makes its own. */
  public void clearReservations() {
    reservations.clear();
  }

  private Resources reservedFrom(Job job) {
    QuotaReservation reservation = reservations.get(job.spec.team());
    return reservation == null ? Resources.ZERO : reservation.reservedFrom(job);
  }

  /**
   * Returns the resources left within the team's limit for tasks of the job, after assigned tasks.
   */
  public Resources remaining(Job job) {
    Policy.TeamQuota quota = quotas.get(job.spec.team());
    if (quota == null) {
      return Resources.ZERO;
    }
    Resources limit =
        new Resources(
            quota.coreLimit() > 0 ? quota.coreLimit() : UNLIMITED,
            quota.gpuLimit() > 0 ? quota.gpuLimit() : UNLIMITED,
            UNLIMITED);
    return limit.minus(maxUsage(job.spec.team())).minus(messageUsageAheadOf(job));
  }

  /** Returns whether the team's limit and reservation allow one more task to be assigned. */
  public boolean mayAssign(Job job) {
    return withinLimit(job, maxUsage(job.spec.team()).plus(reservedFrom(job)));
  }

  /**
   * Returns whether the team's limit allows one more task to be launched, regardless of assigned
   * tasks.
   */
  public boolean mayLaunch(Job job) {
    return withinLimit(job, maxPlacedUsage(job.spec.team()));
  }

  private boolean withinLimit(Job job, Resources used) {
    Resources after = used.plus(job.spec.size());
    return withinLimit(
        job.spec.team(), queueDemands.isEmpty() ? after : after.plus(messageUsageAheadOf(job)));
  }

  private boolean withinLimit(String teamName, Resources used) {
    Policy.TeamQuota quota = quotas.get(teamName);
    return quota != null
        && (quota.coreLimit() <= 0 || used.cores() <= quota.coreLimit() + TOLERANCE)
        && (quota.gpuLimit() <= 0 || used.gpus() <= quota.gpuLimit() + TOLERANCE);
  }

  /**
   * Returns how many more tasks of the job the team's core limit allows, or {@link
   * Integer#MAX_VALUE} if it does not restrict the job.
   */
  public int remainingTasks(Job job) {
    Policy.TeamQuota quota = quotas.get(job.spec.team());
    if (quota == null || quota.coreLimit() <= 0 || job.spec.size().cores() <= 0) {
      return Integer.MAX_VALUE;
    }
    double used =
        maxUsage(job.spec.team()).plus(messageUsageAheadOf(job)).plus(reservedFrom(job)).cores();
    double remainingCores = quota.coreLimit() - used + TOLERANCE;
    return (int) Math.max(0, Math.floor(remainingCores / job.spec.size().cores()));
  }
}
