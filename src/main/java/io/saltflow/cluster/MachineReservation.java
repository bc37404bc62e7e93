package io.saltflow.cluster;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;

/** A reservation of resources on a machine from a given time on. */
public final class MachineReservation {
  public final MonotonicTime availableAt;

  /**
   * Whether the reservation is for the minimum share of a class or team rather than for the head of
   * the queue.
   */
  public final boolean forMinimumShare;

  private Resources leftover;

  /**
   * Creates a reservation.
   *
   * @param availableAt the time at which the reserved resources become available
   * @param leftover the resources that remain beside the reservation
   */
  public MachineReservation(
      MonotonicTime availableAt, boolean forMinimumShare, Resources leftover) {
    this.availableAt = availableAt;
    this.forMinimumShare = forMinimumShare;
    this.leftover = leftover;
  }

  /** Returns the resources that remain beside the reservation. */
  public Resources leftover() {
    return leftover;
  }

  /** Sets the resources that remain beside the reservation. */
  public void setLeftover(Resources leftover) {
    this.leftover = leftover;
  }
}
