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
 * When a step may begin: times of day in a zone, on days of a calendar with exceptions. What counts
 * is the clock on the wall there, so a window within a skipped hour does not open on that day, and
 * one within a repeated hour opens twice.
 *
 * @param zone of all times and days; its rules are those of the Java platform's copy of the tz
 *     database
 * @param timeRanges when, on each day that is open; none: always
 * @param days the days of the week that are open
 * @param closed days that are closed although their day of the week is open
 * @param opened days that are open although their day of the week is not
 */
public record MaintenanceWindows(
    ZoneId zone,
    List<TimeRange> timeRanges,
    Set<DayOfWeek> days,
    Set<LocalDate> closed,
    Set<LocalDate> opened) {

  /**
   * From a time of day until another, which is not part of it. One that ends before it begins goes
   * on into the next day, and belongs to the day on which it began.
   */
  public record TimeRange(LocalTime from, LocalTime until) {
    boolean isOvernight() {
      return !until.isAfter(from);
    }
  }

  /** Always open. */
  public static final MaintenanceWindows ALWAYS =
      new MaintenanceWindows(
          ZoneId.of("UTC"), List.of(), Set.of(DayOfWeek.values()), Set.of(), Set.of());

  /** Whether a step may begin at that time of day. */
  public boolean isOpen(long wallMs) {
    if (timeRanges.isEmpty()) {
      return true;
    }
    ZonedDateTime there = Instant.ofEpochMilli(wallMs).atZone(zone);
    LocalDate today = there.toLocalDate();
    LocalTime time = there.toLocalTime();
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
