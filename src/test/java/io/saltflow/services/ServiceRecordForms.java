package io.saltflow.services;

import io.saltflow.compat.StoredForm;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.rollouts.Rollout;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Service records with and without a rollout, and in the form written by earlier builds. */
public final class ServiceRecordForms {
  private static final long WALL_MS = 1_796_189_000_000L;
  private static final int REPLICAS = 4;
  private static final String PLAN =
      "{\"steps\": [{\"count\": 1, \"approval\": true}, {\"percent\": 100}], \"surge\": 2}";
  private static final StoredForm.Codec CODEC =
      b ->
          MessagePackCodec.encode(
              ServiceCodec.encode(ServiceCodec.decode(MessagePackCodec.decode(b))));

  private ServiceRecordForms() {}

  /** Returns the stored forms of a service record. */
  public static List<StoredForm> all() throws InvalidMessageException {
    MessageBody earlier =
        MessagePackCodec.decode(MessagePackCodec.encode(ServiceCodec.encode(service(rollout()))));
    earlier.fields().keySet().removeAll(List.of("mostUnavailable", "port", "ports"));
    for (MessageBody version : earlier.maps("versions")) {
      version.fields().keySet().removeAll(List.of("parameters", "port"));
    }
    earlier
        .map("current")
        .fields()
        .keySet()
        .removeAll(List.of("began", "resumes", "grown", "zones"));
    return List.of(
        StoredForm.current(
            "service record", MessagePackCodec.encode(ServiceCodec.encode(service(null))), CODEC),
        StoredForm.current(
            "service record with a rollout",
            MessagePackCodec.encode(ServiceCodec.encode(service(rollout()))),
            CODEC),
        StoredForm.earlier("service record, earlier", MessagePackCodec.encode(earlier), CODEC));
  }

  private static Service service(Service.RolloutRecord current) {
    Map<String, String> parameters = new TreeMap<>(Map.of("cache", "2g", "shard", "7"));
    return new Service(
        "page-cache",
        "vision",
        Priority.HIGH,
        REPLICAS,
        new ReplicaTemplate(new Resources(2, 0.5, 4), 0.5, true, 2, 9000, 16),
        List.of(
            new Service.Version(1, "img-1", Map.of(), 9000, "ann", WALL_MS, 1),
            new Service.Version(2, "img-2", parameters, 9016, "bob", WALL_MS + 5, 3)),
        1,
        current,
        List.of("Version 2 (img-2) was taken back, version 1 serves: aborted"));
  }

  private static Service.RolloutRecord rollout() throws InvalidMessageException {
    Rollout rollout =
        new Rollout(
            REPLICAS,
            1,
            Rollout.Phase.PAUSED,
            Rollout.Phase.CHECKING,
            3,
            2,
            WALL_MS + 60_000,
            WALL_MS + 61_000,
            List.of("a", "b"),
            "paused by an operator");
    return new Service.RolloutRecord(
        1, 2, WALL_MS + 10, PLAN, RolloutPlanReader.read(PLAN, REPLICAS), rollout);
  }
}
