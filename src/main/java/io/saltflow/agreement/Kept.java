package io.saltflow.agreement;

import java.util.List;

/**
 * What a node must find again after a crash.
 *
 * @param vote whom it voted for in that term; null: nobody yet
 */
public record Kept(long term, String vote, Snapshot snapshot, List<Entry> entries) {
  /** A node that begins with the group's first members. */
  public static Kept first(List<String> members) {
    return new Kept(0, null, Snapshot.empty(members), List.of());
  }
}
