package io.saltflow.clusterversion;

/** An inclusive range of cluster versions that a build supports. */
public record VersionRange(ClusterVersion oldest, ClusterVersion newest) {
  /** Versions that this build supports. */
  public static final VersionRange THIS_BUILD =
      new VersionRange(ClusterVersion.INITIAL, ClusterVersion.ANNOUNCED_BUILDS);

  /** Versions that are assumed for a controller without an announcement. */
  public static final VersionRange UNANNOUNCED =
      new VersionRange(ClusterVersion.INITIAL, ClusterVersion.INITIAL);

  /** Validates that the newest version is not older than the oldest. */
  public VersionRange {
    if (newest.isBelow(oldest)) {
      throw new InvalidVersionsException("invalid version range: from " + oldest + " to " + newest);
    }
  }

  /** Returns whether the version is supported. */
  public boolean contains(ClusterVersion version) {
    return !version.isBelow(oldest) && !newest.isBelow(version);
  }

  @Override
  public String toString() {
    return oldest.equals(newest) ? oldest.toString() : oldest + " to " + newest;
  }
}
