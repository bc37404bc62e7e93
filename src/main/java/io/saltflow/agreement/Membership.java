package io.saltflow.agreement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Changes of membership one node at a time (section 4.1 of the dissertation). */
final class Membership {
  private Membership() {}

  /**
   * Whether a leader may propose these members now. The next change waits until the last one is
   * committed, and the first until an entry of this term is (the dissertation's erratum).
   */
  static boolean mayBecome(NodeState node, List<String> members) {
    return node.leads()
        && !members.isEmpty()
        && differByOne(node.members(), members)
        && node.log.lastChange() <= node.commit
        && node.log.term(node.commit) == node.term;
  }

  private static boolean differByOne(List<String> before, List<String> after) {
    Set<String> either = new HashSet<>(before);
    either.addAll(after);
    Set<String> both = new HashSet<>(after);
    both.retainAll(before);
    return either.size() - both.size() == 1;
  }
}
