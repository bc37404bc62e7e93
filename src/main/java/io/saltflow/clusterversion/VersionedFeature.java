package io.saltflow.clusterversion;

/** Features that may be used once the cluster version that introduced them is active. */
public enum VersionedFeature {
  /**
   * Records of several jobs under one key, {@code live/~NAME}. An earlier build treats such a
   * record as a damaged job, so it answers 404 for accepted jobs in it.
   */
  SUBMISSION_BATCHES(2),

  /**
   * Addresses and creation times in the machine records under {@code fleet/N}. An earlier build
   * treats such a record as damaged and waits until the longest lease has expired.
   */
  MACHINE_ADDRESSES(3);

  private final ClusterVersion introducedIn;

  VersionedFeature(int introducedIn) {
    this.introducedIn = new ClusterVersion(introducedIn);
  }

  /** Returns the version that must be active before the feature may be used. */
  public ClusterVersion introducedIn() {
    return introducedIn;
  }
}
