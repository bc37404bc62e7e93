package io.saltflow.deadlines;

import io.saltflow.protocol.JobId;

/**
 * A job that is not ready yet.
 *
 * @param leftCoreS what is left of it, in core-seconds, by corrected estimates
 * @param longestS how long it takes at the least, whatever it gets: its longest task, with a fetch
 * @param why it is not done, for people
 */
public record Member(JobId id, double leftCoreS, double longestS, boolean failing, String why) {}
