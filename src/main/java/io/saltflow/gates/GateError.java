package io.saltflow.gates;

/** A gate that means nothing, and at which column (from 1) of its text that shows. */
public final class GateError extends Exception {
  private final int column;

  GateError(int column, String why) {
    super("column " + column + ": " + why, null, false, false);
    this.column = column;
  }

  public int column() {
    return column;
  }
}
