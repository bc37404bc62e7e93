package io.saltflow.healthgates;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Evaluates a gate over time. Its state is how long each held condition has had its value. A new
 * leader starts without that state, so that no condition passes on time that it has not observed.
 */
public final class GateEvaluator {
  /**
   * The result of an evaluation, with the reasons why the gate does not pass, or the observed
   * values if it passes.
   */
  public record Verdict(TernaryTruth truth, List<String> reasons) {}

  private static final class HeldState {
    TernaryTruth raw;
    MonotonicTime since;
    boolean everTrue;

    /** Whether it turned from true to false and has not recovered since. */
    boolean relapsed;
  }

  private final Gate gate;
  private final TimeSpan noDataTimeout;
  private final Map<Integer, HeldState> heldStates = new HashMap<>();

  /**
   * @param withoutData how long a condition may be without data before it counts as failing, unless
   *     the gate specifies it
   */
  public GateEvaluator(Gate gate, TimeSpan withoutData) {
    this.gate = gate;
    this.noDataTimeout = withoutData;
  }

  /** Returns the gate that is evaluated. */
  public Gate gate() {
    return gate;
  }

  /** Evaluates the gate on the current observations. */
  public Verdict evaluate(Observations observations, MonotonicTime now) {
    List<String> reasons = new ArrayList<>();
    TernaryTruth truth = eval(gate.condition(), observations, now, true, reasons);
    return new Verdict(
        truth, truth == TernaryTruth.TRUE ? observedValues(observations, now) : reasons);
  }

  /**
   * Restarts the durations of all held conditions, for example because nothing was observed until
   * now. Whether a condition has relapsed is kept.
   */
  public void restartDurations(MonotonicTime now) {
    heldStates.values().forEach(state -> state.since = now);
  }

  private List<String> observedValues(Observations observations, MonotonicTime now) {
    List<String> out = new ArrayList<>();
    for (Quantity quantity : gate.quantities()) {
      Double value = observations.value(quantity, now);
      out.add(
          quantity
              + (value == null ? " is not known" : " is " + Units.format(quantity.unit(), value)));
    }
    return out;
  }

  /**
   * @param wanted the value with which the condition lets the gate pass; negations flip it
   */
  private TernaryTruth eval(
      Condition condition,
      Observations observations,
      MonotonicTime now,
      boolean wanted,
      List<String> reasons) {
    if (condition instanceof Condition.All all) {
      TernaryTruth result = TernaryTruth.TRUE;
      for (Condition part : all.parts()) {
        result = result.and(eval(part, observations, now, wanted, reasons));
      }
      return result;
    }
    if (condition instanceof Condition.Any any) {
      TernaryTruth result = TernaryTruth.FALSE;
      for (Condition part : any.parts()) {
        result = result.or(eval(part, observations, now, wanted, reasons));
      }
      return result;
    }
    if (condition instanceof Condition.Not not) {
      return eval(not.part(), observations, now, !wanted, reasons).not();
    }
    if (condition instanceof Condition.Held held) {
      return held(held, observations, now, wanted, reasons);
    }
    return compare((Condition.Compare) condition, observations, now);
  }

  private static TernaryTruth compare(
      Condition.Compare compare, Observations observations, MonotonicTime now) {
    Double value = observations.value(compare.quantity(), now);
    return value == null
        ? TernaryTruth.UNKNOWN
        : TernaryTruth.of(compare.operator().holds(value, compare.limit()));
  }

  private TernaryTruth held(
      Condition.Held held,
      Observations observations,
      MonotonicTime now,
      boolean wanted,
      List<String> reasons) {
    List<String> inner = new ArrayList<>();
    TernaryTruth raw = eval(held.part(), observations, now, wanted, inner);
    HeldState state = heldStates.computeIfAbsent(held.id(), id -> new HeldState());
    if (raw != state.raw) {
      state.raw = raw;
      state.since = now;
    }
    state.everTrue |= raw == TernaryTruth.TRUE;
    state.relapsed |= state.everTrue && raw == TernaryTruth.FALSE;
    TimeSpan lasted = now.since(state.since);
    TernaryTruth out =
        switch (raw) {
          case FALSE -> TernaryTruth.FALSE;
          case UNKNOWN -> {
            TimeSpan timeout = held.noDataTimeout() == null ? noDataTimeout : held.noDataTimeout();
            // A lack of data must not let the gate pass under a negation either.
            yield lasted.longerThan(timeout)
                ? (wanted ? TernaryTruth.FALSE : TernaryTruth.TRUE)
                : raw;
          }
          case TRUE -> {
            boolean recovers = state.relapsed && held.recoveryDuration() != null;
            boolean longEnough =
                lasted.compareTo(recovers ? held.recoveryDuration() : held.minDuration()) >= 0;
            state.relapsed &= !longEnough;
            yield longEnough
                ? TernaryTruth.TRUE
                : (recovers ? TernaryTruth.FALSE : TernaryTruth.UNKNOWN);
          }
        };
    if (out != TernaryTruth.of(wanted)) {
      reasons.addAll(inner);
      if (inner.isEmpty()) {
        reasons.add(describe(held, raw, out, lasted, observations, now));
      }
    }
    return out;
  }

  private static String describe(
      Condition.Held held,
      TernaryTruth raw,
      TernaryTruth out,
      TimeSpan lasted,
      Observations observations,
      MonotonicTime now) {
    String since = " for " + Units.formatDuration((double) lasted.ms());
    if (raw == TernaryTruth.UNKNOWN) {
      return held.part() + ": no data" + since;
    }
    String value = "";
    if (held.part() instanceof Condition.Compare compare) {
      Double v = observations.value(compare.quantity(), now);
      value = v == null ? "" : ", it is " + Units.format(compare.quantity().unit(), v);
    }
    if (raw == TernaryTruth.TRUE && out != TernaryTruth.TRUE) {
      return held.part() + ": true" + since + " only" + value;
    }
    return held.part() + ": " + (raw == TernaryTruth.TRUE ? "true" : "false") + since + value;
  }
}
