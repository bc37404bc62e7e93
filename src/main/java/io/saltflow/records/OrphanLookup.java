package io.saltflow.records;

import io.saltflow.model.JobId;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
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
 * Finds the live jobs that depend on cancelled jobs, directly or transitively. It lists all live
 * records and looks up the dependencies that are not among them.
 */
final class OrphanLookup {
  private static final Logger LOG = LoggerFactory.getLogger(OrphanLookup.class);

  private final KeyValueClient store;
  private final DependencyLookup dependencyLookup;

  OrphanLookup(KeyValueClient store, DependencyLookup dependencyLookup) {
    this.store = store;
    this.dependencyLookup = dependencyLookup;
  }

  /**
   * Finds the orphans from a listing that is read after this call.
   *
   * @param then receives the orphans, or {@code null} if they cannot be determined
   */
  void find(Consumer<Set<JobId>> then) {
    store.list(
        KeyValueClient.RequestPriority.USER,
        Keys.LIVE_JOBS,
        listing -> {
          if (listing == null) {
            then.accept(null);
          } else {
            new Search(listing, then).start();
          }
        });
  }

  /** A search over the jobs of one listing. */
  private final class Search {
    private final Consumer<Set<JobId>> then;

    /**
     * Jobs with a separate record. A job in a batch does not count, since it may have ended
     * meanwhile.
     */
    private final Set<JobId> live = new HashSet<>();

    private final Map<JobId, List<JobId>> dependencies = new HashMap<>();
    private final Set<JobId> cancelled = new LinkedHashSet<>();
    private int unanswered;
    private boolean unknown;

    Search(KeyValueClient.PrefixListing listing, Consumer<Set<JobId>> then) {
      this.then = then;
      for (KeyValueClient.KeyValue keyValue : listing.entries()) {
        if (SubmissionBatch.isKey(keyValue.key())) {
          readBatch(keyValue);
        } else {
          JobId id = JobRecordCodec.liveJobId(keyValue.key());
          live.add(id);
          read(id, keyValue.value());
        }
      }
    }

    private void readBatch(KeyValueClient.KeyValue batch) {
      for (JobId id : SubmissionBatch.jobIds(batch.value())) {
        try {
          read(id, batch.value().map(id.text()));
        } catch (InvalidMessageException exception) {
          LOG.error("cannot read job {} in batch {}: {}", id, batch.key(), exception.getMessage());
        }
      }
    }

    private void read(JobId id, MessageBody record) {
      List<JobId> jobDependencies = JobRecordCodec.dependencies(record);
      if (!jobDependencies.isEmpty()) {
        dependencies.put(id, jobDependencies);
      }
    }

    void start() {
      Set<JobId> unresolved = new LinkedHashSet<>();
      dependencies.values().forEach(unresolved::addAll);
      unresolved.removeAll(live);
      unanswered = unresolved.size() + 1;
      for (JobId id : unresolved) {
        dependencyLookup.lookUp(id, state -> onState(id, state));
      }
      onAnswered();
    }

    private void onState(JobId id, DependencyState state) {
      unknown |= state == DependencyState.UNKNOWN;
      if (state == DependencyState.CANCELLED) {
        cancelled.add(id);
      }
      onAnswered();
    }

    private void onAnswered() {
      if (--unanswered == 0) {
        then.accept(unknown ? null : orphans());
      }
    }

    /** Computes the transitive closure of the jobs that depend on a cancelled job. */
    private Set<JobId> orphans() {
      Set<JobId> orphans = new LinkedHashSet<>();
      boolean added = !cancelled.isEmpty();
      while (added) {
        added = false;
        for (Map.Entry<JobId, List<JobId>> entry : dependencies.entrySet()) {
          boolean dependsOnOrphan =
              entry.getValue().stream()
                  .anyMatch(
                      dependency -> cancelled.contains(dependency) || orphans.contains(dependency));
          added |= dependsOnOrphan && orphans.add(entry.getKey());
        }
      }
      return orphans;
    }
  }
}
