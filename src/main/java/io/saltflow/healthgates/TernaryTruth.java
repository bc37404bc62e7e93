package io.saltflow.healthgates;

/**
 * A truth value in Kleene's three-valued logic ("Introduction to Metamathematics", 1952, section
 * 64): unknown is neither a pass nor a failure.
 */
public enum TernaryTruth {
  FALSE,
  UNKNOWN,
  TRUE;

  static TernaryTruth of(boolean known) {
    return known ? TRUE : FALSE;
  }

  TernaryTruth and(TernaryTruth other) {
    return compareTo(other) <= 0 ? this : other;
  }

  TernaryTruth or(TernaryTruth other) {
    return compareTo(other) >= 0 ? this : other;
  }

  TernaryTruth not() {
    return values()[2 - ordinal()];
  }
}
