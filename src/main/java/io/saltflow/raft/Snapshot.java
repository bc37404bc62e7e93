package io.saltflow.raft;

import java.util.List;

/**
 * The contents of the state machine and the members of the group after an entry (section 7 of the
 * paper).
 *
 * @param index the index of the last included entry
 * @param term the term of the last included entry
 */
public record Snapshot(long index, long term, List<String> members, byte[] data) {
  /** Returns the empty snapshot that a new group starts with. */
  static Snapshot empty(List<String> members) {
    return new Snapshot(0, 0, List.copyOf(members), new byte[0]);
  }
}
