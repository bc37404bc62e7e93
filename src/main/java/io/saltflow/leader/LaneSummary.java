package io.saltflow.leader;

import java.util.List;

/**
 * Summary of one priority lane of the queue for operators.
 *
 * @param lane the name of the lane
 * @param jobs the number of waiting jobs
 * @param tasks the number of waiting tasks of these jobs
 * @param waitReason why the first job does not start
 * @param firstJobs the first jobs in queue order, one line each
 */
public record LaneSummary(
    String lane, int jobs, int tasks, String waitReason, List<String> firstJobs) {}
