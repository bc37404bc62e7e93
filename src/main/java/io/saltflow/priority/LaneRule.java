package io.saltflow.priority;

import io.saltflow.model.Priority;
import java.util.Set;

/**
 * An operator's rule for a lane: the lane accepts a job if all its non-empty sets match. An empty
 * set matches every job.
 *
 * @param name the configured name of the lane
 */
public record LaneRule(
    String name, Set<String> classes, Set<String> teams, Set<Priority> priorities) {
  boolean matches(String jobClass, String team, Priority priority) {
    return (classes.isEmpty() || classes.contains(jobClass))
        && (teams.isEmpty() || teams.contains(team))
        && (priorities.isEmpty() || priorities.contains(priority));
  }

  boolean matchesAll() {
    return classes.isEmpty() && teams.isEmpty() && priorities.isEmpty();
  }

  /** Returns whether every job that matches the other rule also matches this one. */
  boolean covers(LaneRule other) {
    return covers(classes, other.classes)
        && covers(teams, other.teams)
        && covers(priorities, other.priorities);
  }

  private static <T> boolean covers(Set<T> mine, Set<T> theirs) {
    return mine.isEmpty() || (!theirs.isEmpty() && mine.containsAll(theirs));
  }
}
