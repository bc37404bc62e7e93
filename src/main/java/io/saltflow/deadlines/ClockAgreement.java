package io.saltflow.deadlines;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;

/**
 * Checks a node's wall clock against its peers' clocks. Daily deadlines depend on the wall clock;
 * leases and fencing do not.
 */
public final class ClockAgreement {
  private ClockAgreement() {}

  /**
   * Returns the correction to add to the node's clock, in milliseconds, or 0 if it agrees with its
   * peers or too few clocks agree on a correction.
   *
   * @param aheadMs the offset of each peer's clock from the node's, positive if it is ahead, in
   *     milliseconds
   * @param maxSkewMs the maximum offset between two healthy clocks, in milliseconds
   */
  public static long correction(Collection<Long> aheadMs, long maxSkewMs) {
    List<Long> offsets = new ArrayList<>(aheadMs);
    offsets.add(0L);
    if (offsets.size() < 3) {
      // If two clocks differ, either may be wrong.
      return 0;
    }
    Collections.sort(offsets);
    long lowerMiddle = offsets.get((offsets.size() - 1) / 2);
    long upperMiddle = offsets.get(offsets.size() / 2);
    long median = (lowerMiddle + upperMiddle) / 2;
    return Math.abs(median) <= maxSkewMs || Math.abs(lowerMiddle - upperMiddle) > maxSkewMs
        ? 0
        : median;
  }
}
