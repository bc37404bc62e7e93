package io.saltflow.healthgates;

import java.util.List;

/** A measure of a service's replicas with its arguments, unit and fields. */
public enum Measure {
  /** The share of the desired replicas of the new version that are ready. */
  READY("ready", Unit.SHARE, List.of(), List.of()),
  /** The number of tasks that failed or exited unexpectedly within the window. */
  FAILURES("failures", Unit.COUNT, List.of(Argument.WINDOW), List.of()),
  /** The number of tasks that exited with the given cause within the window. */
  EXITS("exits", Unit.COUNT, List.of(Argument.TEXT, Argument.WINDOW), List.of()),
  /** The number of replicas that were restarted within the window. */
  RESTARTS("restarts", Unit.COUNT, List.of(Argument.WINDOW), List.of()),
  /** The time since the step was complete. */
  AGE("age", Unit.TIME, List.of(), List.of()),
  /** The start latencies of the new version's tasks over the last hour, from launch to running. */
  STARTUP("startup", Unit.TIME, List.of(), List.of("p50", "p90", "p99", "max", "count")),
  /** The latencies, the share of successes or the number of probes of a path. */
  PROBE(
      "probe",
      Unit.TIME,
      List.of(Argument.TEXT),
      List.of("p50", "p90", "p99", "max", "ok", "count"));

  /** The unit of a quantity. */
  public enum Unit {
    SHARE("a share, compare it with a percentage such as 95%"),
    COUNT("a count, compare it with a number"),
    TIME("a time, compare it with one such as 200ms");

    private final String description;

    Unit(String said) {
      this.description = said;
    }

    String description() {
      return description;
    }
  }

  /** The kinds of argument that a measure takes. */
  enum Argument {
    TEXT,
    WINDOW
  }

  private final String text;
  private final Unit unit;
  private final List<Argument> arguments;
  private final List<String> fields;

  Measure(String text, Unit unit, List<Argument> arguments, List<String> fields) {
    this.text = text;
    this.unit = unit;
    this.arguments = arguments;
    this.fields = fields;
  }

  String text() {
    return text;
  }

  List<Argument> arguments() {
    return arguments;
  }

  List<String> fields() {
    return fields;
  }

  Unit unit(String field) {
    if (field.equals("ok")) {
      return Unit.SHARE;
    }
    return field.equals("count") ? Unit.COUNT : unit;
  }

  /** Returns the measure with this name, or {@code null} if there is none. */
  static Measure of(String text) {
    for (Measure measure : values()) {
      if (measure.text.equals(text)) {
        return measure;
      }
    }
    return null;
  }
}
