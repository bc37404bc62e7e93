package io.saltflow.store;

import io.saltflow.model.JobId;

/** Keys and key prefixes in the key-value store. */
public final class Keys {
  /** The leader's host and term, stored under the leader's lease. */
  public static final String LEADER = "lead";

  /** The counter of terms, which persists when the leader key is deleted. */
  public static final String TERM = "term";

  /** The cloud's machine types from the last listing. */
  public static final String MACHINE_TYPES = "types";

  /** Records of live jobs, with one key per job or per submission batch. */
  public static final String LIVE_JOBS = "live/";

  /** Records of finished jobs. */
  static final String FINISHED_JOBS = "over/";

  /** Pages of the machine ledger. */
  public static final String MACHINE_LEDGER = "fleet/";

  /** Pages of the finished tasks of live jobs. */
  public static final String JOB_PROGRESS = "progress/";

  /** Batches of queue entries. */
  public static final String QUEUES = "queues/";

  /** Decisions that persist across failovers and are read by each newly elected leader. */
  public static final String PLANS = "plan/";

  /** Plans of replica migrations. */
  public static final String REPLICA_MIGRATIONS = PLANS + "moves/";

  /** Daily deadlines, with keys of the form QUEUE/DAY. */
  public static final String DAILY_DEADLINES = PLANS + "ready/";

  /** Services and their rollouts. */
  public static final String SERVICES = "services/";

  /** The cluster version's state and the announcements of builds. */
  public static final String CLUSTER_VERSION = "level/";

  /** The required, active and oldest stored cluster versions. */
  public static final String CLUSTER_VERSION_STATE = CLUSTER_VERSION + "active";

  /** The versions that each host's build supports. */
  public static final String BUILD_ANNOUNCEMENTS = CLUSTER_VERSION + "on/";

  /** Inputs of the queue order that are not in the jobs' records. */
  public static final String QUEUE_ORDER_INPUTS = PLANS + "basis";

  /** Operator overrides for single jobs. */
  public static final String OPERATOR_OVERRIDES = PLANS + "order/";

  private Keys() {}

  /** Returns the key of the operator overrides for a job. */
  public static String operatorOverride(JobId id) {
    return OPERATOR_OVERRIDES + id.text();
  }

  /** Returns the key of a live job that has a separate record. */
  public static String liveJob(JobId id) {
    return LIVE_JOBS + id.text();
  }

  /** Returns the key of a finished job. */
  public static String finishedJob(JobId id) {
    return FINISHED_JOBS + id.text();
  }
}
