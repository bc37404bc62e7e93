package io.saltflow.raft;

import java.util.List;

/**
 * The durable state that a node restarts from (figure 2 of the paper).
 *
 * @param votedFor the candidate that this node voted for in {@code term}, or {@code null}
 * @param entries the log after the snapshot
 */
public record DurableState(long term, String votedFor, Snapshot snapshot, List<LogEntry> entries) {
  /** Returns the state of a new node in a group with these initial members. */
  public static DurableState initial(List<String> members) {
    return new DurableState(0, null, Snapshot.empty(members), List.of());
  }
}
