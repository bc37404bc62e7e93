package io.saltflow.healthgates;

import io.saltflow.model.TimeSpan;

/** Parses and formats amounts in the syntax of gates. */
final class Units {
  private Units() {}

  /** Parses a duration such as {@code 200ms}, {@code 30s}, {@code 5m} or {@code 1h}. */
  static TimeSpan parseDuration(String text) {
    int unit = text.length() - (text.endsWith("ms") ? 2 : 1);
    double number = Double.parseDouble(text.substring(0, unit));
    double seconds =
        switch (text.substring(unit)) {
          case "ms" -> number / 1000;
          case "s" -> number;
          case "m" -> number * 60;
          default -> number * 3600;
        };
    return TimeSpan.seconds(seconds);
  }

  static String formatDuration(double ms) {
    if (ms >= 60_000 && ms % 60_000 == 0) {
      return (long) (ms / 60_000) + "m";
    }
    if (ms >= 1000) {
      return formatNumber(ms / 1000) + "s";
    }
    return formatNumber(ms) + "ms";
  }

  /** Formats a value: shares from 0 to 1 as percentages, times from milliseconds. */
  static String format(Measure.Unit unit, double value) {
    return switch (unit) {
      case SHARE -> formatNumber(value * 100) + "%";
      case COUNT -> formatNumber(value);
      case TIME -> Double.isInfinite(value) ? "no answer" : formatDuration(value);
    };
  }

  private static String formatNumber(double value) {
    double rounded = Math.round(value * 10) / 10.0;
    return rounded == Math.rint(rounded) ? Long.toString((long) rounded) : Double.toString(rounded);
  }
}
