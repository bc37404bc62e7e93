package io.saltflow.deadlines;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;

/**
 * Whether a node's time of day may be believed, by those that its siblings tell. A deadline by the
 * wall rests on it; no lease and no proof does.
 */
public final class Clocks {
  private Clocks() {}

  /**
   * By how much the node's clock is to be put forward, in milliseconds; 0: it agrees, or nobody can
   * say that it does not.
   *
   * @param ahead how far each sibling's clock is ahead of its own
   * @param mostApart how far two that are well may be apart
   */
  public static long correction(Collection<Long> ahead, long mostApart) {
    List<Long> all = new ArrayList<>(ahead);
    all.add(0L);
    if (all.size() < 3) {
      // Of two that differ either may be wrong.
      return 0;
    }
    Collections.sort(all);
    long middle = all.get((all.size() - 1) / 2);
    long other = all.get(all.size() / 2);
    long median = (middle + other) / 2;
    return Math.abs(median) <= mostApart || Math.abs(middle - other) > mostApart ? 0 : median;
  }
}
