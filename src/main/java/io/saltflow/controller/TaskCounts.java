package io.saltflow.controller;

import io.saltflow.cluster.Job;
import io.saltflow.leader.LeaderCore;
import io.saltflow.model.JobId;
import io.saltflow.protocol.PeerHeartbeat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Numbers of done and running tasks per live job, taken from this node's core if it leads,
 * otherwise from the leader's last heartbeat. Not thread-safe: used on the event loop's thread.
 */
final class TaskCounts {
  private final Supplier<LeaderCore> activeCore;
  private Map<JobId, PeerHeartbeat.JobCounts> announced = new HashMap<>();

  /**
   * @param activeCore returns the leader core, or {@code null} if this node does not lead
   */
  TaskCounts(Supplier<LeaderCore> activeCore) {
    this.activeCore = activeCore;
  }

  /** Returns the counts of a job, or {@code null} if they are not known. */
  PeerHeartbeat.JobCounts of(JobId id) {
    LeaderCore core = activeCore.get();
    if (core == null) {
      return announced.get(id);
    }
    Job job = core.jobs().find(id);
    return job == null ? null : countsOf(job);
  }

  /** Returns the counts of all live jobs for the leader's heartbeat; empty on followers. */
  List<PeerHeartbeat.JobCounts> toAnnounce() {
    List<PeerHeartbeat.JobCounts> counts = new ArrayList<>();
    LeaderCore core = activeCore.get();
    if (core != null) {
      for (Job job : core.jobs().scheduled()) {
        counts.add(countsOf(job));
      }
    }
    return counts;
  }

  /** Replaces the counts that the leader announced before. */
  void onAnnounced(List<PeerHeartbeat.JobCounts> counts) {
    Map<JobId, PeerHeartbeat.JobCounts> countsById = new HashMap<>();
    for (PeerHeartbeat.JobCounts jobCounts : counts) {
      countsById.put(jobCounts.job(), jobCounts);
    }
    announced = countsById;
  }

  private static PeerHeartbeat.JobCounts countsOf(Job job) {
    return new PeerHeartbeat.JobCounts(job.id(), job.doneCount(), job.runningCount());
  }
}
