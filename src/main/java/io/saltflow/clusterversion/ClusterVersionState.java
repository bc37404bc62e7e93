package io.saltflow.clusterversion;

import io.saltflow.model.Revision;

/**
 * The recorded cluster versions, which are stored under one key.
 *
 * @param required version that every build must support; older builds can no longer be used
 * @param active version in which data is written; never newer than the required version
 * @param oldestStored lower bound of the versions of stored data
 * @param revision revision of the key, or {@link Revision#ABSENT} if nothing is recorded yet
 */
public record ClusterVersionState(
    ClusterVersion required,
    ClusterVersion active,
    ClusterVersion oldestStored,
    Revision revision) {
  /** State of a store that only builds without cluster versions may have used. */
  public static final ClusterVersionState UNRECORDED =
      new ClusterVersionState(
          ClusterVersion.INITIAL, ClusterVersion.INITIAL, ClusterVersion.INITIAL, Revision.ABSENT);

  /** Validates that the versions are consistent. */
  public ClusterVersionState {
    if (required.isBelow(active) || active.isBelow(oldestStored)) {
      throw new InvalidVersionsException(
          "inconsistent cluster versions: required "
              + required
              + ", active "
              + active
              + ", oldest stored "
              + oldestStored);
    }
  }

  /** Returns whether a build can read all present and future stored data, and thus may serve. */
  public boolean supportsBuild(VersionRange build) {
    return build.contains(required) && build.contains(oldestStored);
  }

  /** Returns whether a feature may be used now. */
  public boolean allows(VersionedFeature feature) {
    return !active.isBelow(feature.introducedIn());
  }

  /** Returns why a build may not serve and which build to install, in one line for operators. */
  public String incompatibility(VersionRange build) {
    return build.newest().isBelow(required)
        ? "the stored state is of level "
            + required
            + " and this build knows levels "
            + build
            + ": install a build that knows level "
            + required
        : "the stored state is not rewritten beyond level "
            + oldestStored
            + " and this build knows levels "
            + build
            + ": install a build that knows level "
            + oldestStored
            + " until it is";
  }
}
