package io.saltflow.lanes;

import java.util.Comparator;

/**
 * A job's place among all: the revision of the state service at which it was accepted, and its
 * number among those that were accepted by the same change. It never changes.
 */
public record Place(long revision, int index) implements Comparable<Place> {
  private static final Comparator<Place> ORDER =
      Comparator.comparingLong(Place::revision).thenComparingInt(Place::index);

  @Override
  public int compareTo(Place other) {
    return ORDER.compare(this, other);
  }
}
