package io.saltflow.priority;

import io.saltflow.model.JobId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Orders waiting jobs by guaranteed quota, lane, operator override, daily deadline boost, then
 * admission, where a long job may be passed by shorter ones admitted a little later. The result
 * depends on the arguments alone, not on the iteration order of the keys.
 */
public final class QueueOrder {
  /** Rank of the lowest priority's default lane. */
  private static final int LOWEST_PRIORITY_RANK = 3;

  private QueueOrder() {}

  private record RankedJob(OrderKey key, int rank, double effectiveArrivalMs) {}

  private static final Comparator<RankedJob> QUEUE_ORDER =
      Comparator.comparing((RankedJob ranked) -> ranked.key.failing())
          .thenComparing(ranked -> !ranked.key.guaranteed())
          .thenComparingInt(ranked -> ranked.rank)
          .thenComparing(ranked -> -ranked.key.frontRevision())
          .thenComparingInt(ranked -> ranked.key.boostRank())
          .thenComparing(ranked -> !(ranked.key.lowSlack() && ranked.key.effectiveLane().isNamed()))
          .thenComparingDouble(ranked -> ranked.effectiveArrivalMs)
          .thenComparing(ranked -> ranked.key.position())
          .thenComparing(ranked -> ranked.key.id());

  /**
   * Returns the IDs of the jobs in queue order.
   *
   * @param lengthWeight the factor by which a job's length delays it relative to shorter jobs; 0
   *     keeps the order of admission
   */
  public static List<JobId> of(
      Collection<OrderKey> keys, QueueOrderInputs inputs, double lengthWeight) {
    List<OrderKey> byPosition = new ArrayList<>(keys);
    byPosition.sort(
        Comparator.comparing(OrderKey::position)
            .thenComparingLong(OrderKey::arrivedMs)
            .thenComparing(OrderKey::id));
    List<RankedJob> ranked = new ArrayList<>();
    long arrivalMs = Long.MIN_VALUE;
    for (OrderKey key : byPosition) {
      // Wall clocks of nodes differ; admission order takes precedence over recorded arrival times.
      arrivalMs = Math.max(arrivalMs, key.arrivedMs());
      double lengthMs = 1000 * correctedCoreS(key, inputs) / Math.max(1, inputs.fleetCores());
      ranked.add(new RankedJob(key, rank(key), arrivalMs + lengthWeight * lengthMs));
    }
    ranked.sort(QUEUE_ORDER);
    return shortestFirst(ranked, inputs);
  }

  /**
   * Returns the rank of the job's lane; a job of the lowest priority is promoted by one rank if its
   * deadline is at risk.
   */
  private static int rank(OrderKey key) {
    Lane lane = key.effectiveLane();
    boolean promoted = key.lowSlack() && !lane.isNamed() && lane.rank() == LOWEST_PRIORITY_RANK;
    return promoted ? lane.rank() - 1 : lane.rank();
  }

  private static double correctedCoreS(OrderKey key, QueueOrderInputs inputs) {
    return key.remainingCoreS() * inputs.estimateCorrection(key.jobClass());
  }

  /** Reorders jobs of underserved classes within the places they hold, the shortest first. */
  private static List<JobId> shortestFirst(List<RankedJob> ranked, QueueOrderInputs inputs) {
    Map<String, PriorityQueue<OrderKey>> byGroup = new HashMap<>();
    Comparator<OrderKey> byRemaining =
        Comparator.comparingDouble((OrderKey key) -> correctedCoreS(key, inputs))
            .thenComparing(OrderKey::id);
    for (RankedJob rankedJob : ranked) {
      if (reorderable(rankedJob.key, inputs)) {
        byGroup
            .computeIfAbsent(reorderGroup(rankedJob), group -> new PriorityQueue<>(byRemaining))
            .add(rankedJob.key);
      }
    }
    List<JobId> ordered = new ArrayList<>(ranked.size());
    for (RankedJob rankedJob : ranked) {
      ordered.add(
          reorderable(rankedJob.key, inputs)
              ? byGroup.get(reorderGroup(rankedJob)).poll().id()
              : rankedJob.key.id());
    }
    return ordered;
  }

  private static boolean reorderable(OrderKey key, QueueOrderInputs inputs) {
    return !key.fixedInClass()
        && !key.guaranteed()
        && key.frontRevision() == 0
        && key.boostRank() == Integer.MAX_VALUE
        && !key.failing()
        && inputs.shortestFirstClasses().contains(key.jobClass());
  }

  /** Jobs exchange places only within one lane and class. */
  private static String reorderGroup(RankedJob rankedJob) {
    return rankedJob.rank + " " + rankedJob.key.jobClass();
  }
}
