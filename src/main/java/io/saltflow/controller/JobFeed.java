package io.saltflow.controller;

import io.saltflow.cluster.Job;
import io.saltflow.leader.LeaderCore;
import io.saltflow.leader.LeaderLease;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import io.saltflow.records.InheritedRecords;
import io.saltflow.records.JobRecordCodec;
import io.saltflow.records.JobRepository;
import io.saltflow.records.LeaderRepository;
import io.saltflow.records.LiveJobRecord;
import io.saltflow.store.KeyValueClient;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Feeds the live jobs of the key-value store to the leader core: first a full snapshot, then each
 * change that a watch reports. Used on the event loop's thread; stops when the leader session is
 * cancelled.
 */
final class JobFeed {
  private static final Logger LOG = LoggerFactory.getLogger(JobFeed.class);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(300);
  private static final TimeSpan WATCH_TIMEOUT = TimeSpan.seconds(1);

  /** Delay between the response to one watch and the next watch. */
  private static final TimeSpan WATCH_INTERVAL = TimeSpan.millis(120);

  /** Status of a watch that starts before the oldest change that the store retains. */
  private static final int COMPACTED = 410;

  /**
   * The live jobs as listed by the key-value store.
   *
   * @param revision the store revision after which changes must be watched
   * @param requestedAt the time at which the list was requested
   */
  record Snapshot(List<Job> jobs, long revision, MonotonicTime requestedAt) {}

  private final Routine session;
  private final EventLoop loop;
  private final JobRepository jobs;
  private final LeaderRepository records;
  private final LeaderLease leaderLease;
  private LeaderCore core;
  private InheritedRecords inherited;

  JobFeed(
      Routine session,
      EventLoop loop,
      JobRepository jobs,
      LeaderRepository records,
      LeaderLease leaderLease) {
    this.session = session;
    this.loop = loop;
    this.jobs = jobs;
    this.records = records;
    this.leaderLease = leaderLease;
  }

  /** Reads all live jobs, retrying until the store answers. */
  void readAll(InheritedRecords inheritedState, Consumer<Snapshot> then) {
    inherited = inheritedState;
    listLive(
        (listing, requestedAt) -> {
          List<Job> found = new ArrayList<>();
          for (KeyValueClient.KeyValue entry : listing.entries()) {
            if (addIfBatch(entry.key(), entry.value(), entry.revision())) {
              continue;
            }
            LiveJobRecord recorded = decodeJob(entry.key(), entry.value(), entry.revision());
            if (recorded != null) {
              found.add(inherited.job(recorded));
            }
          }
          then.accept(new Snapshot(found, listing.revision(), requestedAt));
        });
  }

  /** Applies each change after a revision to the core until the session is cancelled. */
  void follow(LeaderCore leaderCore, long revision) {
    core = leaderCore;
    watch(revision);
  }

  private void listLive(BiConsumer<KeyValueClient.PrefixListing, MonotonicTime> then) {
    MonotonicTime requestedAt = loop.now();
    jobs.listLive(
        listing -> {
          if (session.cancelled()) {
            return;
          }
          if (listing == null) {
            loop.schedule(RETRY_DELAY, session, () -> listLive(then));
            return;
          }
          then.accept(listing, requestedAt);
        });
  }

  private void watch(long after) {
    MonotonicTime requestedAt = loop.now();
    jobs.watchLive(
        after,
        WATCH_TIMEOUT,
        response -> {
          if (session.cancelled()) {
            return;
          }
          if (response.status() == COMPACTED) {
            resync();
          } else if (!response.isSuccess()) {
            loop.schedule(RETRY_DELAY, session, () -> watch(after));
          } else {
            apply(response, after, requestedAt);
          }
        });
  }

  private void apply(KeyValueClient.StoreResponse response, long after, MonotonicTime requestedAt) {
    try {
      for (MessageBody event : response.events()) {
        applyEvent(event);
      }
      records.recordLaunchIntents();
      leaderLease.onSynced(requestedAt);
      long next = Math.max(after, response.revision());
      loop.schedule(WATCH_INTERVAL, session, () -> watch(next));
    } catch (InvalidMessageException exception) {
      LOG.error("job watch failed: invalid event: {}", exception.getMessage());
      loop.schedule(RETRY_DELAY, session, this::resync);
    }
  }

  private void applyEvent(MessageBody event) throws InvalidMessageException {
    String put = event.textOr(Wire.PUT, null);
    if (put == null) {
      JobId id = JobRecordCodec.liveJobId(event.text(Wire.DELETE));
      if (id != null) {
        core.jobs().onRemoved(id, loop.now());
      }
      return;
    }
    Revision revision = new Revision(event.integer(Wire.VERSION));
    if (addIfBatch(put, event.map(Wire.VALUE), revision)) {
      return;
    }
    JobId id = JobRecordCodec.liveJobId(put);
    if (id != null && core.jobs().find(id) == null) {
      LiveJobRecord recorded = decodeJob(put, event.map(Wire.VALUE), revision);
      if (recorded != null) {
        addJob(recorded);
      }
    }
  }

  /**
   * Reads all jobs again after the watch failed or fell behind the changes that the store retains.
   */
  private void resync() {
    listLive(
        (listing, requestedAt) -> {
          Set<JobId> live = new HashSet<>();
          for (KeyValueClient.KeyValue entry : listing.entries()) {
            if (addIfBatch(entry.key(), entry.value(), entry.revision())) {
              continue;
            }
            // A job is live even if its record cannot be decoded.
            live.add(JobRecordCodec.liveJobId(entry.key()));
            LiveJobRecord recorded = decodeJob(entry.key(), entry.value(), entry.revision());
            if (recorded != null) {
              addJob(recorded);
            }
          }
          for (JobId id : core.jobs().liveIds()) {
            if (!live.contains(id)) {
              core.jobs().onRemoved(id, loop.now());
            }
          }
          leaderLease.onSynced(requestedAt);
          watch(listing.revision());
        });
  }

  /** Returns whether the record is a submission batch, whose jobs get their own records later. */
  private boolean addIfBatch(String key, MessageBody value, Revision revision) {
    boolean isBatch = JobRecordCodec.isBatch(key);
    if (isBatch) {
      records.onBatchFound(key, value, revision);
    }
    return isBatch;
  }

  /** Adds a job unless it is known. A job with an earlier launch intent may already be running. */
  private void addJob(LiveJobRecord recorded) {
    JobId id = recorded.spec().id();
    if (core.jobs().find(id) == null) {
      core.jobs()
          .onAdded(
              recorded.spec(),
              recorded.arrivedWallMs(),
              inherited.maybeStarted(recorded),
              recorded.lane(),
              recorded.position());
    }
  }

  private static LiveJobRecord decodeJob(String key, MessageBody value, Revision revision) {
    try {
      return JobRecordCodec.decode(value, revision);
    } catch (InvalidMessageException exception) {
      LOG.error("invalid job record {}: {}", key, exception.getMessage());
      return null;
    }
  }
}
