package io.saltflow.emulator;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;

/**
 * Behaviour of an emulated replica, parsed from the parameter {@code behaves} of its version.
 *
 * @param failsAfter the run time after which it fails, or {@code null} if it does not fail
 * @param responseTime the time that it takes to answer a probe
 * @param flapInterval the length of its alternating healthy and unhealthy phases, or {@code null}
 *     if it does not flap
 * @param unhealthyZone the zone in which it is unhealthy; empty for none, {@code *} for all
 */
public record ReplicaBehaviour(
    TimeSpan failsAfter, TimeSpan responseTime, TimeSpan flapInterval, String unhealthyZone) {
  private static final TimeSpan NO_DELAY = TimeSpan.millis(0);

  /**
   * Parses a behaviour: {@code well}, {@code dies 29} (seconds), {@code slow 300} (milliseconds),
   * {@code flaps 10} (seconds) or {@code ill a} (zone).
   */
  static ReplicaBehaviour of(String text) {
    String[] words = text.split(" ");
    String value = words.length > 1 ? words[1] : "";
    double number = value.matches("\\d{1,6}(\\.\\d{1,3})?") ? Double.parseDouble(value) : 0;
    return switch (words[0]) {
      case "dies" -> new ReplicaBehaviour(TimeSpan.seconds(number), NO_DELAY, null, "");
      case "slow" -> new ReplicaBehaviour(null, TimeSpan.millis((long) number), null, "");
      case "flaps" ->
          new ReplicaBehaviour(null, NO_DELAY, TimeSpan.seconds(Math.max(1, number)), "");
      case "ill" -> new ReplicaBehaviour(null, NO_DELAY, null, value.isEmpty() ? "*" : value);
      default -> new ReplicaBehaviour(null, NO_DELAY, null, "");
    };
  }

  /** Returns whether a probe succeeds at the given time. */
  boolean healthy(String zone, MonotonicTime now) {
    boolean healthyPhase = flapInterval == null || now.ms() / flapInterval.ms() % 2 == 0;
    return healthyPhase && !unhealthyZone.equals("*") && !unhealthyZone.equals(zone);
  }
}
