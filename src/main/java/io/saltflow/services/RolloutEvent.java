package io.saltflow.services;

import io.saltflow.healthgates.TernaryTruth;
import io.saltflow.rollouts.Rollout;
import java.util.List;

/** An event of a rollout for tracing. No decision depends on its delivery. */
public sealed interface RolloutEvent {
  /** Identifies a rollout across failovers: the service, the versions and the start time. */
  record RolloutId(String service, String from, String to, long beganWallMs) {}

  /** Returns the rollout that the event belongs to. */
  RolloutId id();

  /** The rollout's state was recorded, or loaded after a failover. */
  record StateRecorded(RolloutId id, Rollout rollout, long wallMs) implements RolloutEvent {}

  /** The verdict of the step's gate changed. */
  record VerdictChanged(RolloutId id, TernaryTruth verdict, List<String> reasons, long wallMs)
      implements RolloutEvent {}

  /** A replica of the new version is running; {@code tookMs} is the time since its launch. */
  record ReplicaStarted(RolloutId id, long tookMs, long wallMs) implements RolloutEvent {}

  /** A replica was probed; {@code ms} is the latency, or a negative code if the probe failed. */
  record ReplicaProbed(RolloutId id, String at, long ms, long wallMs) implements RolloutEvent {}

  /** This controller is no longer the leader. */
  record LeadershipLost(RolloutId id, long wallMs) implements RolloutEvent {}
}
