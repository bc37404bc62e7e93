package io.saltflow.rollouts;

/** What an operator says to a roll-out. */
public enum Command {
  PAUSE,
  RESUME,
  APPROVE,
  ABORT
}
