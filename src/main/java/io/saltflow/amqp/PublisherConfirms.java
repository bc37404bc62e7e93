package io.saltflow.amqp;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/** Publishes of one channel that are not answered yet, and as few answers as say it all. */
final class PublisherConfirms {
  /** One basic.ack. */
  record Ack(long number, boolean multiple) {}

  private final TreeSet<Long> unconfirmed = new TreeSet<>();
  private long lastNumber;

  /** The number of the next publish. */
  long next() {
    unconfirmed.add(++lastNumber);
    return lastNumber;
  }

  boolean reject(long number) {
    return unconfirmed.remove(number);
  }

  /** What to send for these: all up to one that leaves none open before it, then single ones. */
  Collection<Ack> acks(Collection<Long> numbers) {
    TreeSet<Long> known = new TreeSet<>();
    for (long n : numbers) {
      if (unconfirmed.remove(n)) {
        known.add(n);
      }
    }
    List<Ack> out = new ArrayList<>();
    Long upTo =
        unconfirmed.isEmpty()
            ? (known.isEmpty() ? null : known.last())
            : known.lower(unconfirmed.first());
    if (upTo != null) {
      int together = known.headSet(upTo, true).size();
      out.add(new Ack(upTo, together > 1));
      known.headSet(upTo, true).clear();
    }
    known.forEach(n -> out.add(new Ack(n, false)));
    return out;
  }
}
