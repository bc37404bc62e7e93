package io.saltflow.coordination;

import java.util.Collection;
import java.util.Set;

/**
 * How many tasks of a service's version there should be, and where.
 *
 * @param tasks how many may be on machines
 * @param onlyIn zones in which tasks may be started; null: all
 * @param leaveFirst zones in which tasks are stopped first when there are too many
 */
public record Wanted(int tasks, Set<String> onlyIn, Set<String> leaveFirst) {
  /** So many, anywhere. */
  public static Wanted anywhere(int tasks) {
    return new Wanted(tasks, null, Set.of());
  }

  /** So many, started in these zones only; null: anywhere. */
  public static Wanted in(Collection<String> zones, int tasks) {
    return new Wanted(tasks, zones == null ? null : Set.copyOf(zones), Set.of());
  }

  /** So many, and those in these zones go first; null: it is all the same. */
  public static Wanted leaving(Collection<String> zones, int tasks) {
    return new Wanted(tasks, null, zones == null ? Set.of() : Set.copyOf(zones));
  }
}
