package io.saltflow.amqp;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/** The unconfirmed publishes of a channel. Combines confirms into as few acks as possible. */
final class PublisherConfirms {
  /** The arguments of a basic.ack. */
  record Ack(long number, boolean multiple) {}

  private final TreeSet<Long> unconfirmed = new TreeSet<>();
  private long lastNumber;

  /** Returns the number of the next publish and adds it to the unconfirmed ones. */
  long next() {
    unconfirmed.add(++lastNumber);
    return lastNumber;
  }

  boolean reject(long number) {
    return unconfirmed.remove(number);
  }

  /**
   * Returns the acks for these publishes: one for all publishes before the first unconfirmed one,
   * then one for each remaining publish.
   */
  Collection<Ack> acks(Collection<Long> numbers) {
    TreeSet<Long> known = new TreeSet<>();
    for (long number : numbers) {
      if (unconfirmed.remove(number)) {
        known.add(number);
      }
    }
    List<Ack> out = new ArrayList<>();
    Long upTo =
        unconfirmed.isEmpty()
            ? (known.isEmpty() ? null : known.last())
            : known.lower(unconfirmed.first());
    if (upTo != null) {
      int count = known.headSet(upTo, true).size();
      out.add(new Ack(upTo, count > 1));
      known.headSet(upTo, true).clear();
    }
    known.forEach(n -> out.add(new Ack(n, false)));
    return out;
  }
}
