package io.saltflow.gates;

/**
 * What a condition comes to, in Kleene's logic of three values ("Introduction to Metamathematics",
 * 1952, section 64): what is not known is neither a pass nor a failure.
 */
public enum Truth {
  FALSE,
  UNKNOWN,
  TRUE;

  static Truth of(boolean known) {
    return known ? TRUE : FALSE;
  }

  Truth and(Truth other) {
    return compareTo(other) <= 0 ? this : other;
  }

  Truth or(Truth other) {
    return compareTo(other) >= 0 ? this : other;
  }

  Truth not() {
    return values()[2 - ordinal()];
  }
}
