package io.saltflow.fairshare;

import io.saltflow.model.JobId;
import io.saltflow.model.Priority;
import io.saltflow.model.TimeSpan;

/**
 * The resources that one job holds and requests.
 *
 * @param taskShare the fraction of the cluster that one task occupies, 0 to 1
 * @param pending the number of tasks that could start now; numbers beyond the capacity of the
 *     cluster are equivalent
 * @param assigned the number of tasks that are placed or assigned
 * @param eligibleShare the fraction of the cluster on which its tasks may run, 0 to 1
 * @param remainingS the remaining work, in seconds of the whole cluster
 * @param arrivedWallMs the wall-clock time of arrival, in milliseconds
 * @param waited the time since its arrival
 */
public record ShareRequest(
    JobId id,
    ShareGroup jobClass,
    ShareGroup team,
    Priority priority,
    double taskShare,
    int pending,
    int assigned,
    double eligibleShare,
    double remainingS,
    long arrivedWallMs,
    TimeSpan waited) {

  double demand() {
    return Math.min(1, taskShare * (pending + assigned));
  }
}
