package io.saltflow.services;

import io.saltflow.cluster.ServiceReplicas;
import io.saltflow.leader.LeaderCore;
import io.saltflow.model.MonotonicTime;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import io.saltflow.rollouts.Rollout;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Builds the view of a service that operators see: its versions, replicas and last rollout. */
final class ServiceView {
  private ServiceView() {}

  static MessageBody of(LiveService live, LeaderCore leader, MonotonicTime now, long wallMs) {
    Service service = live.service();
    MessageBody out =
        MessageBody.of()
            .with("name", service.name())
            .with("replicas", service.replicas())
            .with("serving", service.serving())
            .with("versions", versions(live, leader, now))
            .with("history", service.history());
    if (service.current() != null) {
      addRollout(out, live, wallMs);
    }
    return out;
  }

  private static List<Object> versions(LiveService live, LeaderCore leader, MonotonicTime now) {
    List<Object> versions = new ArrayList<>();
    for (Service.Version version : live.service().versions()) {
      ServiceReplicas.ReplicaCounts replicaCounts = live.replicas(leader, version.number(), now);
      versions.add(
          MessageBody.of()
              .with("version", version.number())
              .with(Wire.IMAGE, version.image())
              .with("parameters", version.parameters())
              .with("port", version.port())
              .with("by", version.createdBy())
              .with("sinceMs", version.createdWallMs())
              .with("wanted", live.service().desiredCount(version.number()))
              .with("ready", replicaCounts.ready())
              .with("unseen", replicaCounts.unreachable()));
    }
    return versions;
  }

  private static void addRollout(MessageBody out, LiveService live, long wallMs) {
    Service service = live.service();
    Rollout rollout = service.current().rollout();
    out.with("from", service.current().from())
        .with("to", service.current().to())
        .with("phase", rollout.phase().name().toLowerCase(Locale.ROOT))
        .with("step", rollout.step() + 1)
        .with("steps", service.current().plan().steps().size())
        .with("zones", rollout.openZones() == null ? List.of() : rollout.openZones())
        .with("sinceS", (wallMs - rollout.sinceWallMs()) / 1000.0)
        .with("reason", rollout.reason())
        .with("waitsFor", service.isRollingOut() ? live.unmetConditions() : List.of());
  }
}
