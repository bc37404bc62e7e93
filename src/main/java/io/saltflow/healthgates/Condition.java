package io.saltflow.healthgates;

import io.saltflow.model.TimeSpan;
import java.util.List;

/** The syntax tree of a gate. */
public sealed interface Condition {
  /** Conjunction. */
  record All(List<Condition> parts) implements Condition {}

  /** Disjunction. */
  record Any(List<Condition> parts) implements Condition {}

  /** Negation. */
  record Not(Condition part) implements Condition {}

  /**
   * A comparison of a quantity with a limit in the quantity's unit (shares from 0 to 1, times in
   * ms).
   */
  record Compare(Quantity quantity, Operator operator, double limit) implements Condition {
    @Override
    public String toString() {
      return quantity + " " + operator.text() + " " + Units.format(quantity.unit(), limit);
    }
  }

  /**
   * A condition that must last.
   *
   * @param id its place among those of the gate: what is remembered of it goes by that
   * @param minDuration it passes once it has been true for so long
   * @param recoveryDuration once it was true and then false, it fails until it has been true for so
   *     long; null: as at first
   * @param noDataTimeout unknown for longer than this counts as false; null: the gate's default
   */
  record Held(
      int id,
      Condition part,
      TimeSpan minDuration,
      TimeSpan recoveryDuration,
      TimeSpan noDataTimeout)
      implements Condition {}

  /** How a quantity is compared. */
  enum Operator {
    LESS("<"),
    AT_MOST("<="),
    MORE(">"),
    AT_LEAST(">="),
    SAME("=="),
    OTHER("!=");

    private final String text;

    Operator(String text) {
      this.text = text;
    }

    String text() {
      return text;
    }

    static Operator of(String text) {
      for (Operator operator : values()) {
        if (operator.text.equals(text)) {
          return operator;
        }
      }
      throw new IllegalArgumentException(text);
    }

    boolean holds(double value, double limit) {
      int c = Double.compare(value, limit);
      return switch (this) {
        case LESS -> c < 0;
        case AT_MOST -> c <= 0;
        case MORE -> c > 0;
        case AT_LEAST -> c >= 0;
        case SAME -> c == 0;
        case OTHER -> c != 0;
      };
    }
  }
}
