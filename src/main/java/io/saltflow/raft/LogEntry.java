package io.saltflow.raft;

import java.util.List;

/**
 * An entry of the replicated log: a command, a membership change, or a no-op.
 *
 * @param members the members from this entry on if it is a membership change, else {@code null}
 * @param data the state machine's command if it is a command, else {@code null}
 */
public record LogEntry(long index, long term, List<String> members, byte[] data) {
  /** Returns the no-op entry that a leader appends at the start of its term. */
  static LogEntry noOp(long index, long term) {
    return new LogEntry(index, term, null, null);
  }

  /** Returns an entry that holds a state machine command. */
  static LogEntry command(long index, long term, byte[] data) {
    return new LogEntry(index, term, null, data);
  }

  /** Returns a membership change to these members. */
  static LogEntry members(long index, long term, List<String> members) {
    return new LogEntry(index, term, List.copyOf(members), null);
  }
}
