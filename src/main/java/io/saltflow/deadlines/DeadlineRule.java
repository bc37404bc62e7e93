package io.saltflow.deadlines;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * An operator's daily deadline for a queue, which is a set of job classes and teams. An empty set
 * matches all; a job belongs to the queue if both its class and its team match.
 *
 * @param opens the time from which jobs count for the deadline, on the day before if it is later
 *     than {@code dueBy}
 * @param dueBy the time at which it is due
 * @param zone the time zone of both times
 * @param days the days of the week on which there is a deadline
 * @param targetShare the share of its jobs that must complete in time, 0 to 1
 */
public record DeadlineRule(
    String queue,
    Set<String> classes,
    Set<String> teams,
    LocalTime opens,
    LocalTime dueBy,
    ZoneId zone,
    Set<DayOfWeek> days,
    double targetShare) {

  /** Returns whether a job of this class and team belongs to the queue. */
  public boolean matches(String jobClass, String team) {
    return (classes.isEmpty() || classes.contains(jobClass))
        && (teams.isEmpty() || teams.contains(team));
  }

  /**
   * Returns the deadline that is open at this wall-clock time, or {@code null} if there is none. A
   * local time skipped when clocks go forward is shifted later by the length of the gap; of a local
   * time that occurs twice when clocks go back, the first occurrence counts.
   */
  public DailyDeadline openAt(long wallMs) {
    LocalDate today = java.time.Instant.ofEpochMilli(wallMs).atZone(zone).toLocalDate();
    for (LocalDate day : List.of(today, today.plusDays(1))) {
      if (days.contains(day.getDayOfWeek())) {
        LocalDate openDay = opens.isBefore(dueBy) ? day : day.minusDays(1);
        long openedMs = openDay.atTime(opens).atZone(zone).toInstant().toEpochMilli();
        long dueMs = day.atTime(dueBy).atZone(zone).toInstant().toEpochMilli();
        if (openedMs <= wallMs && wallMs < dueMs) {
          return DailyDeadline.opened(queue, day.toString(), openedMs, dueMs, targetShare);
        }
      }
    }
    return null;
  }

  /** Returns the errors in the rules, each prefixed with the field of the setting. */
  public static List<String> validationErrors(List<DeadlineRule> rules) {
    List<String> errors = new ArrayList<>();
    for (int i = 0; i < rules.size(); i++) {
      DeadlineRule rule = rules.get(i);
      if (rule.opens.equals(rule.dueBy)) {
        errors.add("readiness[" + i + "].opens: the same as by, so the deadline is never open");
      }
      for (int j = 0; j < i; j++) {
        if (rules.get(j).queue.equals(rule.queue)) {
          errors.add("readiness[" + i + "].queue: '" + rule.queue + "' is there twice");
        }
        if (overlap(rules.get(j).classes, rule.classes)
            && overlap(rules.get(j).teams, rule.teams)) {
          errors.add(
              "readiness[" + i + "].classes: overlap with queue '" + rules.get(j).queue + "'");
        }
      }
    }
    return errors;
  }

  private static boolean overlap(Set<String> first, Set<String> second) {
    return first.isEmpty() || second.isEmpty() || first.stream().anyMatch(second::contains);
  }
}
