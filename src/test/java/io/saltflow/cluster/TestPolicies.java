package io.saltflow.cluster;

import io.saltflow.deadlines.DeadlineRule;
import io.saltflow.fairshare.FairShareRules;
import io.saltflow.model.Priority;
import io.saltflow.model.TimeSpan;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Policies for tests. */
public final class TestPolicies {
  private TestPolicies() {}

  /** Returns a policy with these values and defaults for the others. */
  public static Policy of(
      TimeSpan lease,
      TimeSpan leaseRenewalWindow,
      double estimateScaleThresholdS,
      Policy.TeamQuota... teams) {
    return of(Map.of(), lease, leaseRenewalWindow, estimateScaleThresholdS, teams);
  }

  /** Returns a policy with start targets for some job classes and defaults for the others. */
  public static Policy of(
      Map<String, TimeSpan> startTargetByClass,
      TimeSpan lease,
      TimeSpan leaseRenewalWindow,
      double estimateScaleThresholdS,
      Policy.TeamQuota... teams) {
    Map<String, Policy.TeamQuota> byName = new LinkedHashMap<>();
    for (Policy.TeamQuota team : teams) {
      byName.put(team.name(), team);
    }
    return new Policy(
        1,
        TimeSpan.seconds(3),
        lease,
        leaseRenewalWindow,
        byName,
        Map.of(),
        startTargetByClass,
        TimeSpan.seconds(5),
        0.2,
        TimeSpan.seconds(estimateScaleThresholdS),
        Priority.HIGH,
        TimeSpan.seconds(6),
        TimeSpan.seconds(30),
        1,
        new FairShareRules(0.5, TimeSpan.seconds(120), 0.25),
        TimeSpan.seconds(240),
        1.8,
        0.25,
        TimeSpan.seconds(45),
        TimeSpan.seconds(90),
        1,
        TimeSpan.seconds(60),
        TimeSpan.seconds(10),
        3,
        2,
        List.of());
  }

  /**
   * Returns the policy with a share of one core, which sets the minimum interval between full
   * rounds.
   */
  public static Policy withCpuShare(Policy policy, double cpuShare) {
    return with(policy, cpuShare, policy.fairShare(), policy.firstStartTarget());
  }

  /**
   * Returns the policy with these fair share rules and without a target for the first start of a
   * job, so that only minimum shares apply.
   */
  public static Policy withFairShareRules(Policy policy, FairShareRules fairShare) {
    return with(policy, policy.cpuShare(), fairShare, TimeSpan.seconds(1e6));
  }

  /** Returns the policy with these daily deadlines of queues. */
  public static Policy withDailyDeadlines(Policy policy, List<DeadlineRule> dailyDeadlines) {
    return with(
        policy, policy.cpuShare(), policy.fairShare(), policy.firstStartTarget(), dailyDeadlines);
  }

  private static Policy with(
      Policy policy, double cpuShare, FairShareRules fairShare, TimeSpan firstStartTarget) {
    return with(policy, cpuShare, fairShare, firstStartTarget, policy.deadlineRules());
  }

  private static Policy with(
      Policy policy,
      double cpuShare,
      FairShareRules fairShare,
      TimeSpan firstStartTarget,
      List<DeadlineRule> dailyDeadlines) {
    return new Policy(
        cpuShare,
        policy.heartbeatInterval(),
        policy.workerLease(),
        policy.leaseRenewalWindow(),
        policy.teams(),
        policy.completionTargetByClass(),
        policy.startTargetByClass(),
        policy.guaranteeStartTarget(),
        policy.estimateScaleFactor(),
        policy.estimateScaleThreshold(),
        policy.preemptingPriority(),
        policy.preemptionLookahead(),
        policy.deadlineSlack(),
        policy.lengthWeight(),
        fairShare,
        firstStartTarget,
        policy.expensivePriceFactor(),
        policy.maxMachinePriceShare(),
        policy.scaleOutHorizon(),
        policy.onDemandHorizon(),
        policy.idleTimeoutBootFactor(),
        policy.minimumBilledTime(),
        policy.silenceTimeout(),
        policy.bootTimeoutFactor(),
        policy.faultyThreshold(),
        dailyDeadlines);
  }
}
