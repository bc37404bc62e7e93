package io.saltflow.healthgates;

/** Thrown when a gate's text is not valid. The message names the column of the error. */
public final class GateException extends Exception {
  private final int column;

  GateException(int column, String why) {
    super("column " + column + ": " + why, null, false, false);
    this.column = column;
  }

  /** Returns the column of the error in the gate's text, from 1. */
  public int column() {
    return column;
  }
}
