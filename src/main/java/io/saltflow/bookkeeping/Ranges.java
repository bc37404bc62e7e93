package io.saltflow.bookkeeping;

import java.util.BitSet;

/** A set of task numbers as text such as {@code 0-5,7}; short where tasks end in order. */
final class Ranges {
  private Ranges() {}

  /** At most so many characters: a set that is longer loses its end, and those tasks run again. */
  static String encode(BitSet set, int most) {
    StringBuilder out = new StringBuilder();
    int i = set.nextSetBit(0);
    while (i >= 0) {
      int end = set.nextClearBit(i) - 1;
      String part = end == i ? "" + i : i + "-" + end;
      if (out.length() + part.length() + 1 > most) {
        break;
      }
      if (out.length() > 0) {
        out.append(',');
      }
      out.append(part);
      i = set.nextSetBit(end + 1);
    }
    return out.toString();
  }

  static BitSet decode(String text, int limit) {
    BitSet set = new BitSet();
    if (text.isEmpty()) {
      return set;
    }
    for (String part : text.split(",")) {
      int dash = part.indexOf('-');
      int from = Integer.parseInt(dash < 0 ? part : part.substring(0, dash));
      int to = dash < 0 ? from : Integer.parseInt(part.substring(dash + 1));
      if (from >= 0 && to >= from && to < limit) {
        set.set(from, to + 1);
      }
    }
    return set;
  }
}
