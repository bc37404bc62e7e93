package io.saltflow.services;

import io.saltflow.healthgates.GateEvaluator;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.ProbeFrame;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports rollouts to the tracer. A failure of the tracer never affects a rollout. */
final class RolloutTraces {
  private static final Logger LOG = LoggerFactory.getLogger(RolloutTraces.class);

  private final Consumer<RolloutEvent> tracer;
  private final LongSupplier wallMs;

  RolloutTraces(Consumer<RolloutEvent> tracer, LongSupplier wallMs) {
    this.tracer = tracer;
    this.wallMs = wallMs;
  }

  /** Reports the recorded state of a rollout. */
  void stateRecorded(LiveService live) {
    send(
        new RolloutEvent.StateRecorded(
            live.rolloutId(), live.service().current().rollout(), wallMs.getAsLong()));
  }

  /** Reports a probe of a replica of the new version. */
  void replicaProbed(LiveService live, ProbeFrame.ProbeTarget place, long ms) {
    String target = place.host() + ":" + place.port() + place.path();
    send(new RolloutEvent.ReplicaProbed(live.rolloutId(), target, ms, wallMs.getAsLong()));
  }

  /** Reports a gate's verdict if it changed. */
  void verdictChanged(LiveService live, GateEvaluator.Verdict before) {
    GateEvaluator.Verdict now = live.verdict();
    if (now != null && (before == null || before.truth() != now.truth())) {
      send(
          new RolloutEvent.VerdictChanged(
              live.rolloutId(), now.truth(), now.reasons(), wallMs.getAsLong()));
    }
  }

  /** Reports replicas that started running since the last call. */
  void replicasStarted(LiveService live) {
    for (TimeSpan took : live.takeStartLatencies()) {
      send(new RolloutEvent.ReplicaStarted(live.rolloutId(), took.ms(), wallMs.getAsLong()));
    }
  }

  /** Reports that this controller is no longer the leader. */
  void leadershipLost(LiveService live) {
    send(new RolloutEvent.LeadershipLost(live.rolloutId(), wallMs.getAsLong()));
  }

  private void send(RolloutEvent event) {
    try {
      tracer.accept(event);
    } catch (RuntimeException exception) {
      LOG.error("trace event dropped, the tracer failed: {}", exception.toString());
    }
  }
}
