package io.saltflow.clusterversion;

/**
 * The version of all storage and wire formats together.
 *
 * @param number at least 1
 */
public record ClusterVersion(int number) implements Comparable<ClusterVersion> {
  /** Version of builds without cluster versions, and of hosts without an announcement. */
  public static final ClusterVersion INITIAL = new ClusterVersion(1);

  /** Version from which every build announces its versions before it serves. */
  public static final ClusterVersion ANNOUNCED_BUILDS = new ClusterVersion(3);

  @Override
  public int compareTo(ClusterVersion other) {
    return Integer.compare(number, other.number);
  }

  /** Returns whether this version is older than the other one. */
  public boolean isBelow(ClusterVersion other) {
    return number < other.number;
  }

  @Override
  public String toString() {
    return Integer.toString(number);
  }
}
