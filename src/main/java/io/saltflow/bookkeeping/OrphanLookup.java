package io.saltflow.bookkeeping;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.JobId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds the live jobs that depend on cancelled ones, directly or through others: all live records
 * are listed, and the dependencies that are not among them are looked up.
 */
final class OrphanLookup {
  private static final Logger LOG = LoggerFactory.getLogger(OrphanLookup.class);

  private final StateClient state;
  private final DependencyLookup lookup;

  OrphanLookup(StateClient state, DependencyLookup lookup) {
    this.state = state;
    this.lookup = lookup;
  }

  /**
   * As of a moment after this call.
   *
   * @param then takes them, or null when it can't be told
   */
  void find(Consumer<Set<JobId>> then) {
    state.list(
        StateClient.Rank.USER,
        Keys.LIVE,
        listing -> {
          if (listing == null) {
            then.accept(null);
          } else {
            new Search(listing, then).start();
          }
        });
  }

  /** The jobs of one listing. */
  private final class Search {
    private final Consumer<Set<JobId>> then;

    /** Those with a record of their own; one that lies in a bundle may have ended meanwhile. */
    private final Set<JobId> live = new HashSet<>();

    private final Map<JobId, List<JobId>> dependencies = new HashMap<>();
    private final Set<JobId> cancelled = new LinkedHashSet<>();
    private int unanswered;
    private boolean unknown;

    Search(StateClient.Listing listing, Consumer<Set<JobId>> then) {
      this.then = then;
      for (StateClient.Entry e : listing.entries()) {
        if (Bundles.is(e.key())) {
          readBundle(e);
        } else {
          JobId id = JobStore.idOfLive(e.key());
          live.add(id);
          read(id, e.value());
        }
      }
    }

    private void readBundle(StateClient.Entry bundle) {
      for (JobId id : Bundles.ids(bundle.value())) {
        try {
          read(id, bundle.value().map(id.text()));
        } catch (BadMessage e) {
          LOG.error("{} in bundle {} can't be read: {}", id, bundle.key(), e.getMessage());
        }
      }
    }

    private void read(JobId id, Body record) {
      List<JobId> awaits = JobStore.dependencies(record);
      if (!awaits.isEmpty()) {
        dependencies.put(id, awaits);
      }
    }

    void start() {
      Set<JobId> unclear = new LinkedHashSet<>();
      dependencies.values().forEach(unclear::addAll);
      unclear.removeAll(live);
      unanswered = unclear.size() + 1;
      for (JobId id : unclear) {
        lookup.ask(id, found -> told(id, found));
      }
      answered();
    }

    private void told(JobId id, DependencyState found) {
      unknown |= found == DependencyState.UNKNOWN;
      if (found == DependencyState.CANCELLED) {
        cancelled.add(id);
      }
      answered();
    }

    private void answered() {
      if (--unanswered == 0) {
        then.accept(unknown ? null : orphans());
      }
    }

    /** Whatever depends on a cancelled job or on another such, until none is added. */
    private Set<JobId> orphans() {
      Set<JobId> orphans = new LinkedHashSet<>();
      boolean added = !cancelled.isEmpty();
      while (added) {
        added = false;
        for (Map.Entry<JobId, List<JobId>> e : dependencies.entrySet()) {
          boolean dependsOnSuch =
              e.getValue().stream().anyMatch(d -> cancelled.contains(d) || orphans.contains(d));
          added |= dependsOnSuch && orphans.add(e.getKey());
        }
      }
      return orphans;
    }
  }
}
