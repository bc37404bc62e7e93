package io.saltflow.rollouts;

/** An operator's command for a rollout. */
public enum RolloutCommand {
  PAUSE,
  RESUME,
  APPROVE,
  ABORT
}
