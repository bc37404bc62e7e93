package io.saltflow.cluster;

/**
 * The number of ready replicas that a service can lose to voluntary disruptions, shared by all its
 * versions. Preemption, migration and the scale-in of faulty machines consume it. Machines that
 * fail or are reclaimed by the cloud reduce what remains.
 */
public final class DisruptionBudget {
  private int remaining;

  /**
   * Sets the number of ready replicas beyond the minimum. A negative number means that replicas are
   * missing.
   */
  public void setRemaining(int spare) {
    remaining = spare;
  }

  /** Returns whether this many ready replicas may be stopped. */
  public boolean allows(int replicas) {
    return remaining >= replicas;
  }

  /** Deducts this many replicas from the budget. */
  public void consume(int replicas) {
    remaining -= replicas;
  }
}
