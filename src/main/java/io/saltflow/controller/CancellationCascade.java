package io.saltflow.controller;

import io.saltflow.admission.CascadeBarrier;
import io.saltflow.model.JobId;
import io.saltflow.model.TimeSpan;
import io.saltflow.records.JobRepository;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cancels live jobs that depend on cancelled ones while no leader does so: after an outage, while
 * there is no leader, or while the leader runs a version without dependency support. Runs on every
 * node's event loop.
 */
final class CancellationCascade extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationCascade.class);
  private static final TimeSpan CHECK_INTERVAL = TimeSpan.millis(250);

  /** Bounds duplicate work: several nodes may cancel the same jobs, at two writes each. */
  private static final int MAX_CANCELS_PER_CHECK = 8;

  /**
   * What this node can currently reach.
   *
   * @param storeAvailable returns whether the key-value store answers
   * @param leaderCancelsDependents returns whether a leader exists that cancels dependent jobs
   *     itself
   */
  record Availability(BooleanSupplier storeAvailable, BooleanSupplier leaderCancelsDependents) {}

  private final EventLoop loop;
  private final JobRepository jobs;
  private final CascadeBarrier barrier;
  private final Availability availability;
  private final String host;

  CancellationCascade(
      Routine parent,
      EventLoop loop,
      JobRepository jobs,
      CascadeBarrier barrier,
      Availability availability,
      String host) {
    super(parent);
    this.loop = loop;
    this.jobs = jobs;
    this.barrier = barrier;
    this.availability = availability;
    this.host = host;
  }

  /** Starts the periodic check. Must be called once. */
  void start() {
    check();
    loop.scheduleRepeating(CHECK_INTERVAL, this, this::check);
  }

  private void check() {
    boolean storeAvailable = availability.storeAvailable.getAsBoolean();
    barrier.tick(storeAvailable, availability.leaderCancelsDependents.getAsBoolean(), loop.now());
    if (storeAvailable && barrier.checkDue(loop.now())) {
      LOG.debug("checking for jobs that depend on cancelled ones");
      barrier.onCheckStarted(loop.now());
      jobs.findOrphans(this::cancelOrphans);
    }
  }

  private void cancelOrphans(Set<JobId> orphans) {
    barrier.onCheckFinished(orphans);
    if (cancelled()
        || orphans == null
        || orphans.isEmpty()
        || availability.leaderCancelsDependents.getAsBoolean()) {
      return;
    }
    LOG.info(
        "cancelling {} jobs that depend on cancelled jobs, as no leader does so", orphans.size());
    List<JobId> ordered = new ArrayList<>(orphans);
    // Nodes that cancel at the same time start with different jobs.
    Collections.rotate(ordered, host.hashCode());
    ordered
        .subList(0, Math.min(MAX_CANCELS_PER_CHECK, ordered.size()))
        .forEach(id -> jobs.cancel(id, outcome -> {}));
  }
}
