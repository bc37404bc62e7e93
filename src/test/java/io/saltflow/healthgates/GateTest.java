package io.saltflow.healthgates;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests parsing and evaluation of gates and the reasons that they report. */
class GateTest {
  private static final TimeSpan NO_DATA_TIMEOUT = TimeSpan.seconds(60);

  private final Map<String, Double> observedValues = new HashMap<>();
  private MonotonicTime now = new MonotonicTime(1_000_000);

  private GateEvaluator evaluator(String text) throws GateException {
    return new GateEvaluator(Gate.parse(text), NO_DATA_TIMEOUT);
  }

  private TernaryTruth truthAfter(GateEvaluator watch, double laterS) {
    return verdictAfter(watch, laterS).truth();
  }

  private GateEvaluator.Verdict verdictAfter(GateEvaluator watch, double laterS) {
    now = now.plus(TimeSpan.seconds(laterS));
    return watch.evaluate((quantity, at) -> observedValues.get(quantity.toString()), now);
  }

  @Test
  void documentedExampleIsParsed() throws GateException {
    Gate gate =
        Gate.parse(
            "ready >= 95% for 30s and failures(5m) < 2 and probe(\"/healthz\").p99 < 200ms"
                + " and not exits(\"error\", 2m) > 0");
    assertEquals(
        List.of("ready", "failures(5m)", "probe(\"/healthz\").p99", "exits(\"error\", 2m)"),
        gate.quantities().stream().map(Quantity::toString).toList());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '\0',
      value = {
        "1  | redy > 5% | nothing called 'redy' is observed",
        "10 | ready >= 95 | ready is a share, compare it with a percentage",
        "16 | failures(5m) < 2% | failures(5m) is a count",
        "1  | failures < 2 | failures takes 1 arguments",
        "10 | failures(\"x\") < 2 | a time such as 5m is required",
        "7  | exits(5m, \"x\") > 0 | a text in quotes is required",
        "1  | probe(\"/x\") < 5ms | one of p50, p90, p99, max, ok, count is required",
        "13 | probe(\"/x\").p75 < 5ms | one of p50, p90, p99, max, ok, count is required",
        "7  | ready.x > 5% | ready has no 'x'",
        "17 | probe(\"/x\").ok > 200ms | probe(\"/x\").ok is a share",
        "10 | failures(2h) < 1 | an hour is the most that is kept",
        "20 | ready > 5% and not | mismatched input '<EOF>'",
        "7  | ready $ 5% | mismatched input '$'",
        "12 | ready > 5% for | missing DURATION"
      })
  void parseErrorNamesColumn(int column, String text, String why) {
    GateException gateException = assertThrows(GateException.class, () -> Gate.parse(text));
    assertTrue(gateException.getMessage().contains(why), gateException.getMessage());
  }

  /** Guards against a stack overflow of the leader by a deeply nested text. */
  @Test
  void nestingAndLengthAreBounded() {
    assertThrows(GateException.class, () -> Gate.parse("(".repeat(900) + "ready > 1%"));
    assertThrows(GateException.class, () -> Gate.parse("not ".repeat(400) + "ready > 1%"));
    assertThrows(
        GateException.class, () -> Gate.parse("ready > 1% and ".repeat(200) + "ready > 1%"));
    assertDoesNotThrow(() -> Gate.parse("not ".repeat(30) + "ready > 1%"));
  }

  @Test
  void conditionPassesOnlyAfterItsDuration() throws GateException {
    GateEvaluator gateEvaluator = evaluator("ready >= 95% for 30s");
    observedValues.put("ready", 0.5);
    assertEquals(TernaryTruth.FALSE, truthAfter(gateEvaluator, 0));
    observedValues.put("ready", 0.95);
    assertEquals(TernaryTruth.UNKNOWN, truthAfter(gateEvaluator, 1));
    assertEquals(TernaryTruth.UNKNOWN, truthAfter(gateEvaluator, 29.9));
    assertEquals(
        List.of("ready >= 95%: true for 29.9s only, it is 95%"),
        verdictAfter(gateEvaluator, 0).reasons());
    assertEquals(TernaryTruth.TRUE, truthAfter(gateEvaluator, 0.1));
    observedValues.put("ready", 0.9);
    GateEvaluator.Verdict fell = verdictAfter(gateEvaluator, 1);
    assertEquals(TernaryTruth.FALSE, fell.truth());
    assertEquals(List.of("ready >= 95%: false for 0ms, it is 90%"), fell.reasons());
  }

  /** Guards against a flapping check that passes before its recovery time. */
  @Test
  void flappingConditionFailsUntilRecovered() throws GateException {
    GateEvaluator gateEvaluator = evaluator("probe(\"/\").ok >= 99% for 5s recovers for 20s");
    String ok = "probe(\"/\").ok";
    for (int i = 0; i < 10; i++) {
      observedValues.put(ok, 1.0);
      assertEquals(
          i == 0 ? TernaryTruth.UNKNOWN : TernaryTruth.FALSE, truthAfter(gateEvaluator, 3));
      observedValues.put(ok, 0.5);
      assertEquals(TernaryTruth.FALSE, truthAfter(gateEvaluator, 3));
    }
    observedValues.put(ok, 1.0);
    assertEquals(TernaryTruth.FALSE, truthAfter(gateEvaluator, 3));
    assertEquals(TernaryTruth.FALSE, truthAfter(gateEvaluator, 19.9));
    assertEquals(TernaryTruth.TRUE, truthAfter(gateEvaluator, 0.1));
  }

  @Test
  void missingDataIsUnknownThenFails() throws GateException {
    GateEvaluator gateEvaluator =
        evaluator("ready >= 95% without data for 10s and not failures(1m) > 3");
    assertEquals(TernaryTruth.UNKNOWN, truthAfter(gateEvaluator, 0));
    assertEquals(TernaryTruth.UNKNOWN, truthAfter(gateEvaluator, 10));
    GateEvaluator.Verdict late = verdictAfter(gateEvaluator, 0.1);
    assertEquals(TernaryTruth.FALSE, late.truth());
    assertEquals("ready >= 95%: no data for 10.1s", late.reasons().get(0));
    observedValues.put("ready", 1.0);
    assertEquals(
        TernaryTruth.UNKNOWN,
        truthAfter(gateEvaluator, 1),
        "the second condition is still unknown");
    assertEquals(TernaryTruth.FALSE, truthAfter(gateEvaluator, 60), "no data for a minute");
    observedValues.put("failures(1m)", 0.0);
    assertEquals(TernaryTruth.TRUE, truthAfter(gateEvaluator, 1));
    observedValues.put("failures(1m)", 4.0);
    assertEquals(
        List.of("failures(1m) > 3: true for 0ms, it is 4"),
        verdictAfter(gateEvaluator, 1).reasons());
  }

  @Test
  void knownValuesDecideDespiteUnknownOnes() throws GateException {
    observedValues.put("ready", 1.0);
    assertEquals(TernaryTruth.TRUE, truthAfter(evaluator("ready > 5% or age > 1s"), 0));
    assertEquals(TernaryTruth.UNKNOWN, truthAfter(evaluator("ready > 5% and age > 1s"), 0));
    observedValues.put("ready", 0.0);
    assertEquals(
        TernaryTruth.FALSE, truthAfter(evaluator("(ready > 5% and age > 1s) or ready == 50%"), 0));
    assertEquals(TernaryTruth.TRUE, truthAfter(evaluator("not (ready > 5%) and ready != 3%"), 0));
  }

  @Test
  void observationsAreCountedWithinWindow() throws GateException {
    ReplicaObservations replicaObservations = new ReplicaObservations();
    Quantity failures = Gate.parse("failures(1m) < 1").quantities().get(0);
    Quantity errors = Gate.parse("exits(\"error\", 1m) < 1").quantities().get(0);
    assertEquals(null, replicaObservations.value(failures, now), "unknown before the first report");
    replicaObservations.ready(3, 4, now);
    assertEquals(
        0.75, replicaObservations.value(Gate.parse("ready > 1%").quantities().get(0), now));
    replicaObservations.recordExit("error", true, now);
    replicaObservations.recordExit("lost", true, now);
    assertEquals(2.0, replicaObservations.value(failures, now));
    assertEquals(1.0, replicaObservations.value(errors, now));
    now = now.plus(TimeSpan.seconds(61));
    assertEquals(null, replicaObservations.value(failures, now), "unknown without recent reports");
    replicaObservations.ready(4, 4, now);
    assertEquals(0.0, replicaObservations.value(failures, now));
  }

  @Test
  void stepAgeStartsAtFirstCompletion() throws GateException {
    ReplicaObservations replicaObservations = new ReplicaObservations();
    Quantity age = Gate.parse("age > 1s").quantities().get(0);
    assertEquals(null, replicaObservations.value(age, now));
    replicaObservations.stepCompleted(now);
    now = now.plus(TimeSpan.seconds(3));
    replicaObservations.stepCompleted(now);
    assertEquals(3000.0, replicaObservations.value(age, now));
    replicaObservations.stepStarted();
    assertEquals(null, replicaObservations.value(age, now));
  }

  /** Guards against percentiles that ignore failed probes. */
  @Test
  void percentilesIncludeFailedProbes() throws GateException {
    ReplicaObservations replicaObservations = new ReplicaObservations();
    Quantity p50 = Gate.parse("probe(\"/\").p50 < 1s").quantities().get(0);
    Quantity p99 = Gate.parse("probe(\"/\").p99 < 1s").quantities().get(0);
    Quantity ok = Gate.parse("probe(\"/\").ok > 1%").quantities().get(0);
    assertEquals(null, replicaObservations.value(p50, now));
    for (int i = 1; i <= 98; i++) {
      replicaObservations.recordProbe("/", i, now);
    }
    replicaObservations.recordProbe("/", -1, now);
    replicaObservations.recordProbe("/", -1, now);
    assertEquals(50, replicaObservations.value(p50, now), 1);
    assertEquals(Double.POSITIVE_INFINITY, replicaObservations.value(p99, now));
    assertEquals(0.98, replicaObservations.value(ok, now));
  }

  /** Guards against rollouts that wait for a gate that can never pass. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '\0',
      value = {
        "ready > 100% | ready > 100% never holds",
        "failures(5m) < 0 | failures(5m) < 0 never holds",
        "not failures(5m) >= 0 | not failures(5m) >= 0 never holds",
        "ready >= 95% for 11m | ready >= 95% for 11m: longer than a step lasts",
        "age > 10m | age > 10m never holds",
        "failures(5m) < 1 and restarts(5m) < 3 and failures(5m) > 0"
            + " | failures(5m) > 0 excludes what else is asked of failures(5m)",
        "ready < 50% and not ready <= 60% | not ready <= 60% excludes what else is asked of ready",
        "ready > 100% or failures(1m) < 0 | ready > 100% never holds",
        "not (ready <= 100% or age < 1m) | not ready <= 100% never holds",
        "restarts(5m) == 1.5 | restarts(5m) == 1.5 never holds"
      })
  void unsatisfiableGateIsReported(String text, String fault) throws GateException {
    assertEquals(fault, Gate.parse(text).unsatisfiableReason(TimeSpan.seconds(600)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "ready >= 100% for 10m",
        "ready > 100% or age > 1m",
        "not (ready > 100% and age > 1m)",
        "failures(5m) < 1 and failures(1m) > 0",
        "restarts(5m) != 1.5 and startup.p90 < 30s",
        "probe(\"/\").p99 > 1s and probe(\"/\").p50 < 1s"
      })
  void satisfiableGateIsAccepted(String text) throws GateException {
    assertNull(Gate.parse(text).unsatisfiableReason(TimeSpan.seconds(600)));
  }

  @Test
  void startupLatencyCanBeGated() throws GateException {
    ReplicaObservations replicaObservations = new ReplicaObservations();
    GateEvaluator watch = evaluator("startup.p90 < 5s");
    assertEquals(TernaryTruth.UNKNOWN, watch.evaluate(replicaObservations, now).truth());
    for (int i = 1; i <= 10; i++) {
      replicaObservations.recordStart(TimeSpan.seconds(i < 10 ? 2 : 60), now);
    }
    assertEquals(
        TernaryTruth.TRUE,
        watch.evaluate(replicaObservations, now).truth(),
        "one of ten replicas may be slow");
    replicaObservations.recordStart(TimeSpan.seconds(60), now);
    assertEquals(TernaryTruth.FALSE, watch.evaluate(replicaObservations, now).truth());
  }
}
