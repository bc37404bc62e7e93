package io.saltflow.raft;

import java.util.List;

/**
 * The output of {@link RaftNode#ready}, modelled on etcd's structure of the same name. The caller
 * must persist, send, apply and serve reads in this order.
 *
 * @param save the state to persist before sending any message, or {@code null}
 * @param messages the messages to send
 * @param installedSnapshot a snapshot that replaces the state machine's contents before entries are
 *     applied, or {@code null}
 * @param committedEntries the entries to apply, in order
 * @param reads the reads that may be served
 */
public record Ready(
    Save save,
    List<RaftMessage> messages,
    Snapshot installedSnapshot,
    List<LogEntry> committedEntries,
    List<ConfirmedRead> reads) {

  /**
   * State to persist. The {@code entries} replace all log entries from {@code firstIndex} on.
   *
   * @param snapshot the latest snapshot, whether or not it changed
   */
  public record Save(
      long term, String votedFor, Snapshot snapshot, long firstIndex, List<LogEntry> entries) {}

  /** A read that may be served once the entry at {@code readIndex} is applied. */
  public record ConfirmedRead(long id, long readIndex) {}

  boolean isEmpty() {
    return save == null
        && messages.isEmpty()
        && installedSnapshot == null
        && committedEntries.isEmpty()
        && reads.isEmpty();
  }
}
