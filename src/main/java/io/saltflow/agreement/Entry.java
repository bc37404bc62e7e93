package io.saltflow.agreement;

import java.util.List;

/**
 * An entry of the log.
 *
 * @param members of a change of membership: who is in the group from this entry on; null: none
 * @param data what is to be applied; null: nothing, a leader's first entry or a change of
 *     membership
 */
public record Entry(long index, long term, List<String> members, byte[] data) {
  static Entry of(long index, long term, byte[] data) {
    return new Entry(index, term, null, data);
  }

  static Entry members(long index, long term, List<String> members) {
    return new Entry(index, term, List.copyOf(members), null);
  }
}
