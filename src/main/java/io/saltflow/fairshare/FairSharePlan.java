package io.saltflow.fairshare;

import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The minimum shares of job classes and teams, and the order in which their waiting jobs receive
 * them.
 *
 * @param statuses the shares of all groups that hold or request resources
 * @param grants the grants, starting with the group that holds the smallest part of its minimum
 *     share; while a group holds less than its minimum share, its jobs precede, in this order, all
 *     jobs that are not guaranteed
 */
public record FairSharePlan(Map<ShareGroup, ShareStatus> statuses, List<ShareGrant> grants) {
  /** A plan without minimum shares. */
  public static final FairSharePlan NONE = new FairSharePlan(Map.of(), List.of());

  /** Bounds the work per round; further jobs get a grant once an earlier one has started. */
  private static final int MAX_GRANTS_PER_GROUP = 128;

  /** Orders by priority, then by remaining work, which serves the most users. */
  private static final Comparator<ShareRequest> SHORTEST_FIRST =
      Comparator.comparing(ShareRequest::priority, Comparator.reverseOrder())
          .thenComparingDouble(ShareRequest::remainingS)
          .thenComparing(ShareRequest::id);

  private static final Comparator<ShareRequest> OLDEST_FIRST =
      Comparator.comparingLong(ShareRequest::arrivedWallMs).thenComparing(ShareRequest::id);

  /** Computes the plan for the current requests. */
  public static FairSharePlan of(Collection<ShareRequest> requests, FairShareRules rules) {
    if (rules.minimumShare() <= 0 || requests.isEmpty()) {
      return NONE;
    }
    Map<ShareGroup, List<ShareRequest>> classes = new LinkedHashMap<>();
    Map<ShareGroup, List<ShareRequest>> teams = new LinkedHashMap<>();
    for (ShareRequest request : requests) {
      classes.computeIfAbsent(request.jobClass(), group -> new ArrayList<>()).add(request);
      teams.computeIfAbsent(request.team(), group -> new ArrayList<>()).add(request);
    }
    Map<ShareGroup, ShareStatus> statuses = new LinkedHashMap<>();
    addStatuses(classes, rules, statuses);
    addStatuses(teams, rules, statuses);
    Map<ShareGroup, List<ShareRequest>> all = new LinkedHashMap<>(classes);
    all.putAll(teams);
    return new FairSharePlan(statuses, grants(all, statuses, rules));
  }

  private static void addStatuses(
      Map<ShareGroup, List<ShareRequest>> groups,
      FairShareRules rules,
      Map<ShareGroup, ShareStatus> statuses) {
    Map<ShareGroup, Double> demands = new LinkedHashMap<>();
    groups.forEach(
        (group, requests) ->
            demands.put(
                group, Math.min(1, requests.stream().mapToDouble(ShareRequest::demand).sum())));
    double level = fairShareLevel(demands.values());
    groups.forEach(
        (group, requests) -> {
          double fairShare = Math.min(demands.get(group), level);
          double eligibleShare = 0;
          int waitingJobs = 0;
          TimeSpan longestWait = new TimeSpan(0);
          for (ShareRequest request : requests) {
            if (request.pending() > 0) {
              eligibleShare = Math.max(eligibleShare, request.eligibleShare());
              waitingJobs += request.waited().compareTo(rules.waitThreshold()) >= 0 ? 1 : 0;
              longestWait =
                  request.waited().longerThan(longestWait) ? request.waited() : longestWait;
            }
          }
          double minimumShare = rules.minimumShare() * Math.min(fairShare, eligibleShare);
          statuses.put(
              group,
              new ShareStatus(
                  demands.get(group), fairShare, minimumShare, waitingJobs, longestWait));
        });
  }

  /** Returns the max-min fair level: the largest fraction of the cluster that a group may hold. */
  private static double fairShareLevel(Collection<Double> demands) {
    List<Double> ascendingDemands = demands.stream().sorted().toList();
    double remainingShare = 1;
    for (int i = 0; i < ascendingDemands.size(); i++) {
      double equalPart = remainingShare / (ascendingDemands.size() - i);
      if (ascendingDemands.get(i) >= equalPart) {
        return equalPart;
      }
      remainingShare -= ascendingDemands.get(i);
    }
    return 1;
  }

  private static List<ShareGrant> grants(
      Map<ShareGroup, List<ShareRequest>> groups,
      Map<ShareGroup, ShareStatus> statuses,
      FairShareRules rules) {
    List<ShareGroup> waiting = new ArrayList<>();
    Map<ShareGroup, Double> minimumShareHeld = new HashMap<>();
    groups.forEach(
        (group, requests) -> {
          ShareStatus status = statuses.get(group);
          if (status.waitsBeyondThreshold() && status.minimumShare() > 0) {
            waiting.add(group);
            double assignedShare =
                requests.stream()
                    .mapToDouble(request -> request.taskShare() * request.assigned())
                    .sum();
            minimumShareHeld.put(group, assignedShare / status.minimumShare());
          }
        });
    waiting.sort(Comparator.comparing((ShareGroup group) -> minimumShareHeld.get(group)));
    List<ShareGrant> grants = new ArrayList<>();
    for (ShareGroup group : waiting) {
      addGrants(group, groups.get(group), statuses.get(group).minimumShare(), rules, grants);
    }
    return grants;
  }

  private static void addGrants(
      ShareGroup group,
      List<ShareRequest> requests,
      double minimumShare,
      FairShareRules rules,
      List<ShareGrant> grants) {
    List<ShareRequest> open = new ArrayList<>(requests);
    open.removeIf(request -> request.pending() <= 0 || request.taskShare() <= 0);
    // The oldest job always gets a part, so that jobs arriving later cannot starve it.
    ShareRequest oldest = open.stream().min(OLDEST_FIRST).orElseThrow();
    int maxTasks =
        (int) Math.ceil(rules.oldestJobShare() * minimumShare / oldest.taskShare())
            - oldest.assigned();
    if (maxTasks > 0) {
      grants.add(new ShareGrant(oldest.id(), group, Math.min(maxTasks, oldest.pending())));
    }
    open.sort(SHORTEST_FIRST);
    double grantedShare = 0;
    int grantedJobs = 0;
    for (ShareRequest request : open) {
      if (grantedShare >= minimumShare || grantedJobs++ >= MAX_GRANTS_PER_GROUP) {
        break;
      }
      grantedShare += request.taskShare() * request.pending();
      grants.add(new ShareGrant(request.id(), group, request.pending()));
    }
  }

  /** Returns whether the group waits beyond the threshold and demands more than its fair share. */
  public boolean isUnderserved(ShareGroup group) {
    ShareStatus status = statuses.get(group);
    return status != null && status.waitsBeyondThreshold() && status.demand() > status.fairShare();
  }

  /** Returns whether the group waits beyond the threshold and holds less than its minimum share. */
  public boolean isOwedMinimumShare(ShareGroup group, double held) {
    ShareStatus status = statuses.get(group);
    return status != null && status.waitsBeyondThreshold() && held < status.minimumShare();
  }

  /** Returns whether the group stays within its fair share with one more task of this size. */
  public boolean fitsFairShare(ShareGroup group, double held, double taskShare) {
    ShareStatus status = statuses.get(group);
    return status != null && held + taskShare <= status.fairShare() + 1e-9;
  }
}
