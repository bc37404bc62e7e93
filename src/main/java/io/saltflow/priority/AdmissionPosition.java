package io.saltflow.priority;

import java.util.Comparator;

/**
 * A job's immutable position in the order of admission.
 *
 * @param revision the store revision at which the job was admitted
 * @param index the job's index among those admitted by the same write
 */
public record AdmissionPosition(long revision, int index) implements Comparable<AdmissionPosition> {
  private static final Comparator<AdmissionPosition> ORDER =
      Comparator.comparingLong(AdmissionPosition::revision)
          .thenComparingInt(AdmissionPosition::index);

  @Override
  public int compareTo(AdmissionPosition other) {
    return ORDER.compare(this, other);
  }
}
