package io.saltflow.bookkeeping;

import io.saltflow.lanes.Place;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Stamp;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a leader still has to take out of bundles: each job gets a record of its own, the most
 * urgent first, and a bundle goes when all its jobs have one or are over. Pure: {@link #next} says
 * what to write, the answer is told by {@link #done} or {@link #refused}.
 */
final class Unpacking {
  private static final Logger LOG = LoggerFactory.getLogger(Unpacking.class);

  /** One job of a bundle. */
  record Item(JobId id, Body record, Priority priority, Place place, String bundle) {}

  /** What one transaction does: records to write, and bundles of which nothing is left. */
  record Step(List<Item> items, List<String> empty) {
    int writes() {
      return items.size() + empty.size();
    }

    /** Written only where there is neither a record nor an end: a job may lie in two bundles. */
    Txn into(Txn txn) {
      for (Item item : items) {
        Admissions.absent(txn, item.id)
            .put(Keys.live(item.id), JobStore.withPlace(item.record, item.place));
      }
      empty.forEach(txn::delete);
      return txn;
    }
  }

  private static final Comparator<Item> URGENT_FIRST =
      Comparator.comparing(Item::priority)
          .reversed()
          .thenComparing(Item::place)
          .thenComparing(Item::id);

  private final TreeSet<Item> left = new TreeSet<>(URGENT_FIRST);
  private final Map<String, Integer> open = new HashMap<>();
  private final List<String> empty = new ArrayList<>();
  private final Set<String> found = new HashSet<>();
  private final Set<Item> refusedItems = new HashSet<>();
  private boolean oneByOne;

  /**
   * A bundle was read; one that is known already changes nothing.
   *
   * @param version its revision, at which all of its jobs were accepted
   */
  void found(String key, Body bundle, Stamp version) {
    if (!found.add(key)) {
      return;
    }
    try {
      Map<JobId, Body> records = Bundles.decode(bundle);
      open.put(key, records.size());
      int index = 0;
      for (Map.Entry<JobId, Body> e : records.entrySet()) {
        Place place = new Place(version.number(), index++);
        left.add(new Item(e.getKey(), e.getValue(), priority(e.getValue()), place, key));
      }
      if (records.isEmpty()) {
        empty.add(key);
      }
    } catch (BadMessage e) {
      // It stays where it is, for a version that can read it: its jobs were accepted.
      LOG.error("{} can't be read: {}", key, e.getMessage());
    }
  }

  private static Priority priority(Body record) {
    try {
      return JobStore.decode(record, Stamp.ABSENT).spec().priority();
    } catch (BadMessage e) {
      return Priority.NORMAL;
    }
  }

  boolean isEmpty() {
    return left.isEmpty() && empty.isEmpty();
  }

  /** The next transaction, as large as may be; what would never be taken is left out of it. */
  Step next(StateLimits limits) {
    int most = limits.operations();
    List<Item> items = new ArrayList<>();
    for (Item item : left) {
      if (items.size() >= (oneByOne ? 1 : most)) {
        break;
      }
      // Of a job that lies in two bundles, one at a time.
      boolean other = items.stream().noneMatch(i -> i.id.equals(item.id));
      if (other && !refusedItems.contains(item) && fits(item, limits)) {
        items.add(item);
      }
    }
    List<String> gone =
        new ArrayList<>(empty.subList(0, Math.min(empty.size(), most - items.size())));
    return new Step(items, gone);
  }

  /** A record of its own that is too large is not tried: it would hold up all others. */
  private static boolean fits(Item item, StateLimits limits) {
    Body record = JobStore.withPlace(item.record, item.place);
    if (limits.fits(record)) {
      return true;
    }
    limits.tooLarge(
        Keys.live(item.id),
        JsonSize.of(record),
        "it stays in " + item.bundle + " and waits until larger values are taken");
    return false;
  }

  /** The transaction was refused for what it holds; a single job that is refused is set aside. */
  void refusedForGood(Step step, StateLimits limits) {
    boolean smaller = step.writes() > limits.operations();
    if (!smaller && step.items.size() == 1 && fits(step.items.get(0), limits)) {
      refusedItems.add(step.items.get(0));
    }
    oneByOne = !smaller;
  }

  void done(Step step) {
    oneByOne = false;
    step.items.forEach(this::settled);
    empty.removeAll(step.empty);
  }

  /** The transaction was refused for some keys: whose key it was has a record or is over. */
  void refused(Step step, StateClient.Answer answer) {
    boolean named = false;
    for (Item item : step.items) {
      if (answer.refusedFor(Keys.live(item.id)) || answer.refusedFor(Keys.over(item.id))) {
        settled(item);
        named = true;
      }
    }
    oneByOne = !named;
  }

  private void settled(Item item) {
    if (left.remove(item) && open.merge(item.bundle, -1, Integer::sum) == 0) {
      open.remove(item.bundle);
      empty.add(item.bundle);
    }
  }
}
