package io.saltflow.healthgates;

import io.saltflow.healthgates.Condition.Operator;
import io.saltflow.model.TimeSpan;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds gates that can never pass: a share above 100%, a count below 0, contradictory bounds of one
 * quantity, or a duration longer than the step timeout. The check is incomplete: a gate without a
 * fault may still be unsatisfiable.
 */
final class SatisfiabilityCheck {
  private final double stepTimeoutMs;

  private SatisfiabilityCheck(double limitMs) {
    this.stepTimeoutMs = limitMs;
  }

  /** Returns why the gate can never pass within this time, or {@code null} if it may. */
  static String fault(Gate gate, TimeSpan limit) {
    return new SatisfiabilityCheck(limit.ms()).fault(gate.condition(), true);
  }

  /** A range of values, both ends included. */
  private record Range(double lower, double upper) {
    Range and(Range other) {
      return new Range(Math.max(lower, other.lower), Math.min(upper, other.upper));
    }

    boolean empty() {
      return lower > upper;
    }
  }

  private String fault(Condition condition, boolean wanted) {
    if (condition instanceof Condition.Not not) {
      return fault(not.part(), !wanted);
    }
    if (condition instanceof Condition.Held held) {
      if (wanted && held.minDuration().ms() > stepTimeoutMs) {
        return held.part()
            + " for "
            + Units.formatDuration((double) held.minDuration().ms())
            + ": longer than a step lasts";
      }
      return fault(held.part(), wanted);
    }
    if (condition instanceof Condition.Compare compare) {
      return range(compare, wanted).empty() ? describe(compare, wanted) + " never holds" : null;
    }
    boolean all = condition instanceof Condition.All;
    List<Condition> parts =
        condition instanceof Condition.All otherAll
            ? otherAll.parts()
            : ((Condition.Any) condition).parts();
    // By De Morgan's laws, a conjunction is false if any of its parts is.
    return all == wanted ? conjunctionFault(parts, wanted) : disjunctionFault(parts, wanted);
  }

  private String disjunctionFault(List<Condition> parts, boolean wanted) {
    String first = null;
    for (Condition condition : parts) {
      String fault = fault(condition, wanted);
      if (fault == null) {
        return null;
      }
      first = first == null ? fault : first;
    }
    return first;
  }

  private String conjunctionFault(List<Condition> parts, boolean wanted) {
    Map<Quantity, Range> ranges = new HashMap<>();
    for (Condition condition : parts) {
      String fault = fault(condition, wanted);
      if (fault != null) {
        return fault;
      }
      Condition inner = condition;
      boolean sense = wanted;
      while (!(inner instanceof Condition.Compare)) {
        if (inner instanceof Condition.Held held) {
          inner = held.part();
        } else if (inner instanceof Condition.Not not) {
          inner = not.part();
          sense = !sense;
        } else {
          break;
        }
      }
      if (inner instanceof Condition.Compare compare) {
        Range range = ranges.merge(compare.quantity(), range(compare, sense), Range::and);
        if (range.empty()) {
          return describe(compare, sense) + " excludes what else is asked of " + compare.quantity();
        }
      }
    }
    return null;
  }

  private static String describe(Condition.Compare compare, boolean wanted) {
    return (wanted ? "" : "not ") + compare;
  }

  private Range domain(Quantity quantity) {
    return switch (quantity.unit()) {
      case SHARE -> new Range(0, 1);
      case COUNT -> new Range(0, Double.POSITIVE_INFINITY);
      case TIME ->
          new Range(
              0, quantity.measure() == Measure.AGE ? stepTimeoutMs : Double.POSITIVE_INFINITY);
    };
  }

  private Range range(Condition.Compare compare, boolean wanted) {
    double value = compare.limit();
    Operator operator = wanted ? compare.operator() : negated(compare.operator());
    boolean whole = compare.quantity().unit() == Measure.Unit.COUNT;
    Range range =
        switch (operator) {
          case LESS -> new Range(0, whole ? Math.ceil(value) - 1 : Math.nextDown(value));
          case AT_MOST -> new Range(0, whole ? Math.floor(value) : value);
          case MORE ->
              new Range(
                  whole ? Math.floor(value) + 1 : Math.nextUp(value), Double.POSITIVE_INFINITY);
          case AT_LEAST -> new Range(whole ? Math.ceil(value) : value, Double.POSITIVE_INFINITY);
          case SAME ->
              new Range(whole ? Math.ceil(value) : value, whole ? Math.floor(value) : value);
          case OTHER -> new Range(0, Double.POSITIVE_INFINITY);
        };
    return range.and(domain(compare.quantity()));
  }

  private static Operator negated(Operator operator) {
    return switch (operator) {
      case LESS -> Operator.AT_LEAST;
      case AT_MOST -> Operator.MORE;
      case MORE -> Operator.AT_MOST;
      case AT_LEAST -> Operator.LESS;
      case SAME -> Operator.OTHER;
      case OTHER -> Operator.SAME;
    };
  }
}
