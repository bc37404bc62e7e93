package io.saltflow.reachability;

/**
 * Evidence in a worker's next heartbeat of whether the last answer arrived.
 *
 * @param agentEpoch the worker's agent epoch in this heartbeat
 * @param heartbeatSequence its sequence number, which also counts heartbeats to other nodes
 * @param tokenSeen whether the worker has seen the answering leader's fencing token
 * @param launches the outcome of the launches in the last answer
 */
public record AnswerEvidence(
    long agentEpoch, long heartbeatSequence, boolean tokenSeen, LaunchOutcome launches) {
  /** Outcome of the launches in the last answer. */
  public enum LaunchOutcome {
    /** The answer held no launches. */
    NONE,
    /** At least one launch was executed. */
    CARRIED_OUT,
    /** By its sequence number the heartbeat follows the answer, but it lists no launched task. */
    NOT_LISTED
  }
}
