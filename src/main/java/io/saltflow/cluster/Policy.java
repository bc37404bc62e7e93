package io.saltflow.cluster;

import io.saltflow.deadlines.DeadlineRule;
import io.saltflow.fairshare.FairShareRules;
import io.saltflow.model.Priority;
import io.saltflow.model.TimeSpan;
import java.util.List;
import java.util.Map;

/**
 * The platform and operator settings that govern the leader's decisions.
 *
 * @param cpuShare the fraction of one core that the controller may use
 * @param heartbeatInterval the interval at which workers send heartbeats
 * @param workerLease the time for which a worker keeps its tasks after an answered heartbeat
 * @param leaseRenewalWindow the time after its last confirmed read during which a leader may renew
 *     leases
 * @param teams the teams' quotas, by name
 * @param completionTargetByClass the time within which jobs of a class should be complete
 * @param startTargetByClass the time within which jobs of a class should start
 * @param guaranteeStartTarget the time within which jobs within a guaranteed quota should start
 * @param estimateScaleFactor the factor by which long estimates of jobs with checkpoints are scaled
 * @param estimateScaleThreshold the shortest estimate that is scaled
 * @param preemptingPriority the lowest priority that preempts
 * @param preemptionLookahead the remaining run time within which a task is not preempted
 * @param deadlineSlack the time to spare below which a job queues above its own priority
 * @param lengthWeight the weight of job length in the queue order; a higher weight favors short
 *     jobs
 * @param fairShare the rules of fair sharing between classes and teams
 * @param firstStartTarget the time within which each job should have started its first task
 * @param expensivePriceFactor the multiple of the cheapest price per core above which a machine is
 *     expensive
 * @param maxMachinePriceShare the fraction of the cluster's price that one machine may cost
 * @param scaleOutHorizon the time within which the backlog should be processed
 * @param onDemandHorizon the backlog duration above which expensive machines are justified
 * @param idleTimeoutBootFactor the time for which idle machines are kept, as a multiple of the boot
 *     time
 * @param minimumBilledTime the minimum time that the cloud bills for a machine
 * @param silenceTimeout the time without heartbeats after which a machine is scaled in
 * @param bootTimeoutFactor the time after which a booting machine is given up, as a multiple of the
 *     boot time
 * @param faultyThreshold the number of attributed failures at which a machine is faulty
 * @param deadlineRules the daily deadlines of queues
 */
public record Policy(
    double cpuShare,
    TimeSpan heartbeatInterval,
    TimeSpan workerLease,
    TimeSpan leaseRenewalWindow,
    Map<String, TeamQuota> teams,
    Map<String, TimeSpan> completionTargetByClass,
    Map<String, TimeSpan> startTargetByClass,
    TimeSpan guaranteeStartTarget,
    double estimateScaleFactor,
    TimeSpan estimateScaleThreshold,
    Priority preemptingPriority,
    TimeSpan preemptionLookahead,
    TimeSpan deadlineSlack,
    double lengthWeight,
    FairShareRules fairShare,
    TimeSpan firstStartTarget,
    double expensivePriceFactor,
    double maxMachinePriceShare,
    TimeSpan scaleOutHorizon,
    TimeSpan onDemandHorizon,
    double idleTimeoutBootFactor,
    TimeSpan minimumBilledTime,
    TimeSpan silenceTimeout,
    double bootTimeoutFactor,
    int faultyThreshold,
    List<DeadlineRule> deadlineRules) {

  /** A team's guaranteed quota and limit. A value of 0 means that there is none. */
  public record TeamQuota(
      String name,
      double guaranteedCores,
      double coreLimit,
      double guaranteedGpus,
      double gpuLimit) {}

  /**
   * Round interval to keep per job, machine and task examined, in milliseconds on a full core. It
   * exceeds the processing time, so that rounds take only a small share of the processor.
   */
  private static final double ROUND_INTERVAL_PER_ITEM_MS = 0.02;

  /**
   * Returns the minimum time between two full rounds that examine this many jobs, machines and
   * tasks.
   */
  public TimeSpan minRoundInterval(int items) {
    return TimeSpan.millis((long) (items * ROUND_INTERVAL_PER_ITEM_MS / cpuShare));
  }

  /** Returns the time after which a heartbeat is overdue. */
  public TimeSpan heartbeatTimeout() {
    return heartbeatInterval.times(1.25).plus(TimeSpan.seconds(1));
  }

  /**
   * Returns the time after the last answered heartbeat by which a worker has certainly stopped its
   * tasks.
   */
  public TimeSpan leaseExpiryBound() {
    return workerLease.maximumOnRemoteClock().plus(TimeSpan.millis(500));
  }
}
