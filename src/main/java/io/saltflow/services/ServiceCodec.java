package io.saltflow.services;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Wire;
import io.saltflow.rollouts.Rollout;
import java.util.ArrayList;
import java.util.List;

/** A service's record to and from the form in which the state service keeps it. */
final class ServiceCodec {
  private ServiceCodec() {}

  static Body encode(Service s) {
    List<Object> versions = new ArrayList<>();
    for (Service.Version v : s.versions()) {
      versions.add(
          Body.of()
              .with("no", v.number())
              .with("image", v.image())
              .with("by", v.by())
              .with("at", v.wallMs())
              .with("gen", v.generation()));
    }
    return Body.of()
        .with("name", s.name())
        .with("team", s.team())
        .with("priority", s.priority().wireName())
        .with("replicas", s.replicas())
        .with("cores", s.size().cores())
        .with("gpus", s.size().gpus())
        .with("memoryGb", s.size().memoryGb())
        .with("imageGb", s.imageGb())
        .with("spot", s.spot())
        .with("versions", versions)
        .with("serving", s.serving())
        .with("current", s.current() == null ? null : encode(s.current()))
        .with("history", s.history());
  }

  private static Body encode(Service.Current c) {
    Rollout r = c.rollout();
    return Body.of()
        .with("from", c.from())
        .with("to", c.to())
        .with("plan", c.planText())
        .with("replicas", r.replicas())
        .with("step", r.step())
        .with("phase", r.phase().name())
        .with("resumes", r.resumes() == null ? null : r.resumes().name())
        .with("old", r.wantedOld())
        .with("new", r.wantedNew())
        .with("since", r.sinceWallMs())
        .with("reason", r.reason());
  }

  static Service decode(Body b) throws BadMessage {
    List<Service.Version> versions = new ArrayList<>();
    for (Body v : b.maps("versions")) {
      versions.add(
          new Service.Version(
              (int) v.integer("no"),
              v.text("image"),
              v.text("by"),
              v.integer("at"),
              (int) v.integer("gen")));
    }
    Priority priority = Priority.of(b.text("priority"));
    if (priority == null) {
      throw new BadMessage(Wire.PRIORITY + ": unknown priority");
    }
    return new Service(
        b.text("name"),
        b.text("team"),
        priority,
        (int) b.integer("replicas"),
        new Size(b.amount("cores"), b.amount("gpus"), b.amount("memoryGb")),
        b.amount("imageGb"),
        b.flag("spot"),
        versions,
        (int) b.integer("serving"),
        b.get("current") == null ? null : current(b.map("current")),
        b.texts("history"));
  }

  private static Service.Current current(Body b) throws BadMessage {
    int replicas = (int) b.integer("replicas");
    Rollout rollout =
        new Rollout(
            replicas,
            (int) b.integer("step"),
            phase(b.text("phase")),
            b.get("resumes") == null ? null : phase(b.text("resumes")),
            (int) b.integer("old"),
            (int) b.integer("new"),
            b.integer("since"),
            b.text("reason"));
    String plan = b.text("plan");
    return new Service.Current(
        (int) b.integer("from"), (int) b.integer("to"), plan, Plans.read(plan, replicas), rollout);
  }

  private static Rollout.Phase phase(String text) throws BadMessage {
    try {
      return Rollout.Phase.valueOf(text);
    } catch (IllegalArgumentException e) {
      throw new BadMessage("phase: unknown phase");
    }
  }
}
