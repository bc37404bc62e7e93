package io.saltflow.raft;

/** A deliberate defect that tests enable to verify that their checks detect it. */
enum SeededBug {
  /** A restarted node forgets its vote and may grant one before the leader's lease expires. */
  VOTE_NOT_PERSISTED,
  COMMIT_OF_EARLIER_TERM,
  LEASE_WITHOUT_DRIFT_MARGIN,
  VOTE_WITHOUT_LOG_CHECK,
  CONFLICT_NOT_TRUNCATED,
  READ_WITHOUT_HEARTBEAT_ROUND
}
