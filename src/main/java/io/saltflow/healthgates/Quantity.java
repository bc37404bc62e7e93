package io.saltflow.healthgates;

import io.saltflow.model.TimeSpan;

/**
 * A measure with its arguments.
 *
 * @param text a path or a cause; empty if the measure takes none
 * @param window the length of the observed window; {@code null} if the measure takes none
 * @param field the statistic, such as {@code p99}; empty if the measure has a single value
 */
public record Quantity(Measure measure, String text, TimeSpan window, String field) {
  /** Returns the unit of the quantity's values. */
  public Measure.Unit unit() {
    return measure.unit(field);
  }

  @Override
  public String toString() {
    StringBuilder out = new StringBuilder(measure.text());
    if (!text.isEmpty() || window != null) {
      out.append('(').append(text.isEmpty() ? "" : '"' + text + '"');
      out.append(!text.isEmpty() && window != null ? ", " : "");
      out.append(window == null ? "" : Units.formatDuration((double) window.ms())).append(')');
    }
    return out.append(field.isEmpty() ? "" : "." + field).toString();
  }
}
