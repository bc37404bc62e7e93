package io.saltflow.services;

import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.PriorityNames;
import io.saltflow.protocol.Wire;
import io.saltflow.rollouts.Rollout;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Encodes and decodes the service records in the key-value store. */
final class ServiceCodec {
  private ServiceCodec() {}

  static MessageBody encode(Service service) {
    List<Object> versions = new ArrayList<>();
    for (Service.Version version : service.versions()) {
      versions.add(
          MessageBody.of()
              .with("no", version.number())
              .with("image", version.image())
              .with("parameters", version.parameters())
              .with("port", version.port())
              .with("by", version.createdBy())
              .with("at", version.createdWallMs())
              .with("gen", version.generation()));
    }
    return MessageBody.of()
        .with("name", service.name())
        .with("team", service.team())
        .with("priority", PriorityNames.of(service.priority()))
        .with("replicas", service.replicas())
        .with("cores", service.template().size().cores())
        .with("gpus", service.template().size().gpus())
        .with("memoryGb", service.template().size().memoryGb())
        .with("imageGb", service.template().imageGb())
        .with("spot", service.template().spot())
        .with("mostUnavailable", service.template().maxUnavailable())
        .with("port", service.template().port())
        .with("ports", service.template().ports())
        .with("versions", versions)
        .with("serving", service.serving())
        .with("current", service.current() == null ? null : encode(service.current()))
        .with("history", service.history());
  }

  private static MessageBody encode(Service.RolloutRecord current) {
    Rollout rollout = current.rollout();
    return MessageBody.of()
        .with("from", current.from())
        .with("to", current.to())
        .with("began", current.beganWallMs())
        .with("plan", current.planText())
        .with("replicas", rollout.replicas())
        .with("step", rollout.step())
        .with("phase", rollout.phase().name())
        .with("resumes", rollout.resumePhase() == null ? null : rollout.resumePhase().name())
        .with("old", rollout.desiredOld())
        .with("new", rollout.desiredNew())
        .with("since", rollout.sinceWallMs())
        .with("grown", rollout.startsUsedUntilWallMs())
        .with("zones", rollout.zones())
        .with("reason", rollout.reason());
  }

  static Service decode(MessageBody messageBody) throws InvalidMessageException {
    List<Service.Version> versions = new ArrayList<>();
    for (MessageBody versionBody : messageBody.maps("versions")) {
      versions.add(
          new Service.Version(
              (int) versionBody.integer("no"),
              versionBody.text("image"),
              parameters(versionBody),
              (int) versionBody.integerOr("port", 0),
              versionBody.text("by"),
              versionBody.integer("at"),
              (int) versionBody.integer("gen")));
    }
    Priority priority = PriorityNames.parse(messageBody.text("priority"));
    if (priority == null) {
      throw new InvalidMessageException(Wire.PRIORITY + ": unknown priority");
    }
    return new Service(
        messageBody.text("name"),
        messageBody.text("team"),
        priority,
        (int) messageBody.integer("replicas"),
        new ReplicaTemplate(
            new Resources(
                messageBody.nonNegativeNumber("cores"),
                messageBody.nonNegativeNumber("gpus"),
                messageBody.nonNegativeNumber("memoryGb")),
            messageBody.nonNegativeNumber("imageGb"),
            messageBody.flag("spot"),
            (int) messageBody.integerOr("mostUnavailable", 1),
            (int) messageBody.integerOr("port", 0),
            (int) messageBody.integerOr("ports", 0)),
        versions,
        (int) messageBody.integer("serving"),
        messageBody.get("current") == null ? null : current(messageBody.map("current")),
        messageBody.texts("history"));
  }

  /** Returns the parameters by name; empty if the field is missing. */
  static Map<String, String> parameters(MessageBody messageBody) throws InvalidMessageException {
    Map<String, String> out = new TreeMap<>();
    if (messageBody.get("parameters") != null) {
      MessageBody map = messageBody.map("parameters");
      for (String name : map.fields().keySet()) {
        out.put(name, map.text(name));
      }
    }
    return out;
  }

  private static Service.RolloutRecord current(MessageBody messageBody)
      throws InvalidMessageException {
    int replicas = (int) messageBody.integer("replicas");
    Rollout rollout =
        new Rollout(
            replicas,
            (int) messageBody.integer("step"),
            phase(messageBody.text("phase")),
            messageBody.get("resumes") == null ? null : phase(messageBody.text("resumes")),
            (int) messageBody.integer("old"),
            (int) messageBody.integer("new"),
            messageBody.integer("since"),
            messageBody.integerOr("grown", 0),
            messageBody.get("zones") == null ? List.of() : messageBody.texts("zones"),
            messageBody.text("reason"));
    String plan = messageBody.text("plan");
    return new Service.RolloutRecord(
        (int) messageBody.integer("from"),
        (int) messageBody.integer("to"),
        messageBody.integerOr("began", rollout.sinceWallMs()),
        plan,
        RolloutPlanReader.read(plan, replicas),
        rollout);
  }

  private static Rollout.Phase phase(String text) throws InvalidMessageException {
    try {
      return Rollout.Phase.valueOf(text);
    } catch (IllegalArgumentException exception) {
      throw new InvalidMessageException("phase: unknown phase");
    }
  }
}
