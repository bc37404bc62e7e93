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
   * A comparison of a quantity with a limit in the quantity's unit: shares from 0 to 1, times in
   * milliseconds.
   */
  record Compare(Quantity quantity, Operator operator, double limit) implements Condition {
    @Override
    public String toString() {
      return quantity + " " + operator.text() + " " + Units.format(quantity.unit(), limit);
    }
  }

  /**
   * A condition that must hold for some time.
   *
   * @param id the index among such conditions of the gate, the key of its evaluation state
   * @param minDuration how long the condition must hold before it passes
   * @param recoveryDuration how long the condition must hold after it has turned from true to
   *     false, during which it counts as false; {@code null}: {@code minDuration} applies
   * @param noDataTimeout how long the condition may be unknown before it counts as failing; {@code
   *     null}: the evaluator's default applies
   */
  record Held(
      int id,
      Condition part,
      TimeSpan minDuration,
      TimeSpan recoveryDuration,
      TimeSpan noDataTimeout)
      implements Condition {}

  /** A comparison operator. */
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
