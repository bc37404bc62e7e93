package io.saltflow.fairshare;

import io.saltflow.model.TimeSpan;

/**
 * The operators' settings for minimum shares.
 *
 * @param minimumShare the fraction of the fair share that is granted regardless of priority and
 *     arrival, 0 to 1, where 0 disables minimum shares
 * @param waitThreshold the waiting time of a job after which its group receives its minimum share
 * @param oldestJobShare the fraction of the minimum share that goes to the job that has waited
 *     longest, 0 to 1; the rest goes to the jobs with the least remaining work
 */
public record FairShareRules(double minimumShare, TimeSpan waitThreshold, double oldestJobShare) {}
