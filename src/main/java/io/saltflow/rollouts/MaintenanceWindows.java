package io.saltflow.rollouts;

import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.List;
import java.util.Set;

/**
 * The times at which a step may begin: times of day in a time zone, on days of a calendar with
 * exceptions. Local time applies, so a window within an hour skipped by daylight saving does not
 * open on that day, and one within a repeated hour opens twice.
 *
 * @param zone the time zone of all times and days, with the rules of the Java platform's tz
 *     database
 * @param timeRanges the open times of each open day; if empty, a step may begin at any time
 * @param days the days of the week that are open
 * @param closed dates that are closed although their day of the week is open
 * @param opened dates that are open although their day of the week is not
 */
public record MaintenanceWindows(
    ZoneId zone,
    List<TimeRange> timeRanges,
    Set<DayOfWeek> days,
    Set<LocalDate> closed,
    Set<LocalDate> opened) {

  /**
   * A range of times of day, excluding its end. A range whose end is not after its start continues
   * into the next day and belongs to the day on which it starts.
   */
  public record TimeRange(LocalTime from, LocalTime until) {
    boolean isOvernight() {
      return !until.isAfter(from);
    }
  }

  /** Windows that are always open. */
  public static final MaintenanceWindows ALWAYS =
      new MaintenanceWindows(
          ZoneId.of("UTC"), List.of(), Set.of(DayOfWeek.values()), Set.of(), Set.of());

  /** Returns whether a step may begin at this wall-clock time. */
  public boolean isOpen(long wallMs) {
    if (timeRanges.isEmpty()) {
      return true;
    }
    ZonedDateTime local = Instant.ofEpochMilli(wallMs).atZone(zone);
    LocalDate today = local.toLocalDate();
    LocalTime time = local.toLocalTime();
    for (TimeRange span : timeRanges) {
      if (span.isOvernight()) {
        if ((isOpen(today) && !time.isBefore(span.from))
            || (isOpen(today.minusDays(1)) && time.isBefore(span.until))) {
          return true;
        }
      } else if (isOpen(today) && !time.isBefore(span.from) && time.isBefore(span.until)) {
        return true;
      }
    }
    return false;
  }

  private boolean isOpen(LocalDate day) {
    return opened.contains(day) || (days.contains(day.getDayOfWeek()) && !closed.contains(day));
  }
}
