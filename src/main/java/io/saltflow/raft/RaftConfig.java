package io.saltflow.raft;

import io.saltflow.model.TimeSpan;

/**
 * Timing and limits of a group. All members must use the same values.
 *
 * @param electionTimeout the minimum time without contact to a leader after which a node starts an
 *     election; the actual timeout is random, up to twice as long
 * @param heartbeatInterval the time between two heartbeat rounds
 * @param maxClockDrift the maximum relative difference between the rates of two members' clocks
 * @param maxEntriesPerMessage the maximum number of entries in one {@link
 *     RaftMessage.AppendEntries}
 */
public record RaftConfig(
    TimeSpan electionTimeout,
    TimeSpan heartbeatInterval,
    double maxClockDrift,
    int maxEntriesPerMessage) {}
