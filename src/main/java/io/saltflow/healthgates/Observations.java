package io.saltflow.healthgates;

import io.saltflow.model.MonotonicTime;

/** The observations of a service's replicas. */
public interface Observations {
  /** Returns the value in the quantity's unit, or {@code null} if it is unknown. */
  Double value(Quantity quantity, MonotonicTime now);
}
