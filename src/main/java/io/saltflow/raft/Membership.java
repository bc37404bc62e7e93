package io.saltflow.raft;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Rules for single-server membership changes (section 4.1 of the dissertation). */
final class Membership {
  private Membership() {}

  /**
   * Returns whether this node may propose these members now. It must be the leader, and any earlier
   * membership change and an entry of the current term must be committed (Ongaro, "bug in
   * single-server membership changes", raft-dev, 2015).
   */
  static boolean mayChangeTo(NodeState state, List<String> members) {
    return state.isLeader()
        && !members.isEmpty()
        && differByOneMember(state.members(), members)
        && state.log.lastMembershipChange() <= state.commitIndex
        && state.log.termAt(state.commitIndex) == state.term;
  }

  private static boolean differByOneMember(List<String> before, List<String> after) {
    Set<String> union = new HashSet<>(before);
    union.addAll(after);
    Set<String> intersection = new HashSet<>(after);
    intersection.retainAll(before);
    return union.size() - intersection.size() == 1;
  }
}
