package io.saltflow.healthgates;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Evaluates a gate over time. Its only state is since when each lasting condition has had its
 * value; a new leader starts without it, so that nothing passes on what it has not observed.
 */
public final class GateEvaluator {
  /**
   * The verdict at a moment, with the reasons why the gate does not pass, or the observed values.
   */
  public record Verdict(TernaryTruth truth, List<String> reasons) {}

  private static final class HeldState {
    TernaryTruth raw;
    MonotonicTime since;
    boolean everTrue;

    /** It was true and then false, and has not recovered since. */
    boolean relapsed;
  }

  private final Gate gate;
  private final TimeSpan noDataTimeout;
  private final Map<Integer, HeldState> heldStates = new HashMap<>();

  /**
   * @param withoutData how long a condition may be without data before it counts as failing, where
   *     the gate does not say
   */
  public GateEvaluator(Gate gate, TimeSpan withoutData) {
    this.gate = gate;
    this.noDataTimeout = withoutData;
  }

  /** The gate that is evaluated. */
  public Gate gate() {
    return gate;
  }

  /** Evaluates the gate on what is observed now. */
  public Verdict evaluate(Observations seen, MonotonicTime now) {
    List<String> reasons = new ArrayList<>();
    TernaryTruth truth = eval(gate.condition(), seen, now, true, reasons);
    return new Verdict(truth, truth == TernaryTruth.TRUE ? observedValues(seen, now) : reasons);
  }

  private List<String> observedValues(Observations seen, MonotonicTime now) {
    List<String> out = new ArrayList<>();
    for (Quantity quantity : gate.quantities()) {
      Double value = seen.value(quantity, now);
      out.add(
          quantity
              + (value == null ? " is not known" : " is " + Units.format(quantity.unit(), value)));
    }
    return out;
  }

  /**
   * @param wanted which way the condition helps the gate: under a negation, what is true hinders
   */
  private TernaryTruth eval(
      Condition condition,
      Observations seen,
      MonotonicTime now,
      boolean wanted,
      List<String> reasons) {
    if (condition instanceof Condition.All all) {
      TernaryTruth ternaryTruth = TernaryTruth.TRUE;
      for (Condition otherCondition : all.parts()) {
        ternaryTruth = ternaryTruth.and(eval(otherCondition, seen, now, wanted, reasons));
      }
      return ternaryTruth;
    }
    if (condition instanceof Condition.Any any) {
      TernaryTruth ternaryTruth = TernaryTruth.FALSE;
      for (Condition otherCondition : any.parts()) {
        ternaryTruth = ternaryTruth.or(eval(otherCondition, seen, now, wanted, reasons));
      }
      return ternaryTruth;
    }
    if (condition instanceof Condition.Not not) {
      return eval(not.part(), seen, now, !wanted, reasons).not();
    }
    if (condition instanceof Condition.Held held) {
      return held(held, seen, now, wanted, reasons);
    }
    return compare((Condition.Compare) condition, seen, now);
  }

  private static TernaryTruth compare(
      Condition.Compare compare, Observations seen, MonotonicTime now) {
    Double value = seen.value(compare.quantity(), now);
    return value == null
        ? TernaryTruth.UNKNOWN
        : TernaryTruth.of(compare.operator().holds(value, compare.limit()));
  }

  private TernaryTruth held(
      Condition.Held held,
      Observations seen,
      MonotonicTime now,
      boolean wanted,
      List<String> reasons) {
    List<String> inner = new ArrayList<>();
    TernaryTruth raw = eval(held.part(), seen, now, wanted, inner);
    HeldState memory = heldStates.computeIfAbsent(held.id(), id -> new HeldState());
    if (raw != memory.raw) {
      memory.raw = raw;
      memory.since = now;
    }
    memory.everTrue |= raw == TernaryTruth.TRUE;
    memory.relapsed |= memory.everTrue && raw == TernaryTruth.FALSE;
    TimeSpan lasted = now.since(memory.since);
    TernaryTruth out =
        switch (raw) {
          case FALSE -> TernaryTruth.FALSE;
          case UNKNOWN -> {
            TimeSpan patience = held.noDataTimeout() == null ? noDataTimeout : held.noDataTimeout();
            // Under a negation nothing may pass for lack of data either.
            yield lasted.longerThan(patience)
                ? (wanted ? TernaryTruth.FALSE : TernaryTruth.TRUE)
                : raw;
          }
          case TRUE -> {
            boolean recovers = memory.relapsed && held.recoveryDuration() != null;
            boolean longEnough =
                lasted.compareTo(recovers ? held.recoveryDuration() : held.minDuration()) >= 0;
            memory.relapsed &= !longEnough;
            yield longEnough
                ? TernaryTruth.TRUE
                : (recovers ? TernaryTruth.FALSE : TernaryTruth.UNKNOWN);
          }
        };
    if (out != TernaryTruth.of(wanted)) {
      reasons.addAll(inner);
      if (inner.isEmpty()) {
        reasons.add(describe(held, raw, out, lasted, seen, now));
      }
    }
    return out;
  }

  private static String describe(
      Condition.Held held,
      TernaryTruth raw,
      TernaryTruth out,
      TimeSpan lasted,
      Observations seen,
      MonotonicTime now) {
    String since = " for " + Units.formatDuration((double) lasted.ms());
    if (raw == TernaryTruth.UNKNOWN) {
      return held.part() + ": no data" + since;
    }
    String value = "";
    if (held.part() instanceof Condition.Compare compare) {
      Double v = seen.value(compare.quantity(), now);
      value = v == null ? "" : ", it is " + Units.format(compare.quantity().unit(), v);
    }
    if (raw == TernaryTruth.TRUE && out != TernaryTruth.TRUE) {
      return held.part() + ": true" + since + " only" + value;
    }
    return held.part() + ": " + (raw == TernaryTruth.TRUE ? "true" : "false") + since + value;
  }
}
