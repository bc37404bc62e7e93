package io.saltflow.deadlines;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * What operators expect of a queue. Classes and teams that are empty are all; a job belongs to it
 * when both match.
 *
 * @param opens from then on jobs count for the next morning; later than {@code by}: the evening
 *     before
 * @param days on which a morning is due
 * @param share of its jobs that are to be ready, 0 to 1
 */
public record Rule(
    String queue,
    Set<String> classes,
    Set<String> teams,
    LocalTime opens,
    LocalTime by,
    ZoneId zone,
    Set<DayOfWeek> days,
    double share) {

  public boolean has(String jobClass, String team) {
    return (classes.isEmpty() || classes.contains(jobClass))
        && (teams.isEmpty() || teams.contains(team));
  }

  /**
   * The morning that is open at that time, or null. Where the clock is put forward a time that does
   * not exist is as much later; where it is put back the first of the two counts.
   */
  public Morning openAt(long wallMs) {
    LocalDate today = java.time.Instant.ofEpochMilli(wallMs).atZone(zone).toLocalDate();
    for (LocalDate day : List.of(today, today.plusDays(1))) {
      if (days.contains(day.getDayOfWeek())) {
        LocalDate before = opens.isBefore(by) ? day : day.minusDays(1);
        long from = before.atTime(opens).atZone(zone).toInstant().toEpochMilli();
        long due = day.atTime(by).atZone(zone).toInstant().toEpochMilli();
        if (from <= wallMs && wallMs < due) {
          return Morning.opened(queue, day.toString(), from, due, share);
        }
      }
    }
    return null;
  }

  /** What can't be meant of several, each with the field that is wrong. */
  public static List<String> faults(List<Rule> rules) {
    List<String> out = new ArrayList<>();
    for (int i = 0; i < rules.size(); i++) {
      Rule r = rules.get(i);
      if (r.opens.equals(r.by)) {
        out.add("readiness[" + i + "].opens: the same as by, nothing is ever open");
      }
      for (int j = 0; j < i; j++) {
        if (rules.get(j).queue.equals(r.queue)) {
          out.add("readiness[" + i + "].queue: '" + r.queue + "' is there twice");
        }
        if (meet(rules.get(j).classes, r.classes) && meet(rules.get(j).teams, r.teams)) {
          out.add(
              "readiness[" + i + "].classes: some of them belong to '" + rules.get(j).queue + "'");
        }
      }
    }
    return out;
  }

  private static boolean meet(Set<String> a, Set<String> b) {
    return a.isEmpty() || b.isEmpty() || a.stream().anyMatch(b::contains);
  }
}
