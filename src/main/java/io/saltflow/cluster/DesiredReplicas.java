package io.saltflow.cluster;

import java.util.Collection;
import java.util.Set;

/**
 * The desired number of replicas of a service version, and their zones.
 *
 * @param count the number of replicas that may be on machines
 * @param startZones zones in which replicas may be started, or {@code null} for all
 * @param vacateFirstZones zones in which excess replicas are stopped first
 */
public record DesiredReplicas(int count, Set<String> startZones, Set<String> vacateFirstZones) {
  /** Returns a number of replicas that may start in any zone. */
  public static DesiredReplicas anywhere(int count) {
    return new DesiredReplicas(count, null, Set.of());
  }

  /**
   * Returns a number of replicas that start only in these zones, or in any zone if {@code null}.
   */
  public static DesiredReplicas startingIn(Collection<String> zones, int count) {
    return new DesiredReplicas(count, zones == null ? null : Set.copyOf(zones), Set.of());
  }

  /**
   * Returns a number of replicas whose excess is stopped in these zones first. {@code null} means
   * no preference.
   */
  public static DesiredReplicas vacating(Collection<String> zones, int count) {
    return new DesiredReplicas(count, null, zones == null ? Set.of() : Set.copyOf(zones));
  }
}
