package io.saltflow.cluster;

import io.saltflow.model.MonotonicTime;

/** What the ends of tasks say about a machine. */
public final class TrackRecord {
  private int failureWeight;
  private MonotonicTime provenAt = MonotonicTime.LONG_AGO;

  /** Returns the number of failures since the last success that count against the machine. */
  public int failureWeight() {
    return failureWeight;
  }

  /** Sets the number of failures that count against the machine. */
  public void setFailureWeight(int weight) {
    failureWeight = weight;
  }

  /** Returns the latest launch of a task that has succeeded on the machine. */
  public MonotonicTime provenAt() {
    return provenAt;
  }

  /** Records that a task which was launched at this time has succeeded. */
  public void onTaskSucceeded(MonotonicTime launchedAt) {
    failureWeight = 0;
    provenAt = MonotonicTime.later(provenAt, launchedAt);
  }
}
