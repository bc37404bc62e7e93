package io.saltflow.compat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.saltflow.cluster.Policy;
import io.saltflow.config.ConfigException;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.PlatformSettings;
import io.saltflow.deadlines.DeadlineRule;
import io.saltflow.model.Priority;
import io.saltflow.priority.LaneRule;
import io.saltflow.protocol.PriorityNames;
import io.saltflow.queues.Outcome;
import io.saltflow.rollouts.Rollout;
import io.saltflow.rollouts.RolloutCommand;
import io.saltflow.transport.Addresses;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Lists the keys, bounds and defaults of the settings, and names that are stored or displayed. */
final class SettingsTexts {
  private static final Path SETTINGS = Path.of("src/test/resources/compat");
  private static final List<String> SCHEMAS =
      List.of(
          "operator-settings.schema.json",
          "queues.schema.json",
          "group.schema.json",
          "rollout-plan.schema.json");

  private SettingsTexts() {}

  static Map<String, List<String>> all() throws IOException, ConfigException {
    Map<String, List<String>> texts = new LinkedHashMap<>();
    for (String schema : SCHEMAS) {
      try (InputStream in = SettingsTexts.class.getResourceAsStream("/" + schema)) {
        List<String> lines = new ArrayList<>();
        addLeaves("", new ObjectMapper().readTree(in), lines);
        texts.put("schema " + schema, lines);
      }
    }
    texts.put("operator settings, defaults", describe(OperatorSettings.defaults()));
    texts.put(
        "operator settings, every key",
        describe(OperatorSettings.read(SETTINGS.resolve("operator-settings.json"))));
    texts.put(
        "platform settings", describe(PlatformSettings.read(SETTINGS.resolve("settings.toml"))));
    texts.put("names", names());
    return texts;
  }

  /** Adds every value of a schema with its path, except for descriptions, which may change. */
  private static void addLeaves(String path, JsonNode node, List<String> lines) {
    if (node.isValueNode()) {
      lines.add(path + " " + node);
      return;
    }
    if (node.isArray()) {
      for (int i = 0; i < node.size(); i++) {
        addLeaves(path + "/" + i, node.get(i), lines);
      }
      return;
    }
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      boolean documentation =
          field.getKey().equals("description") || field.getKey().equals("title");
      if (!documentation || !field.getValue().isTextual()) {
        addLeaves(path + "/" + field.getKey(), field.getValue(), lines);
      }
    }
  }

  private static List<String> describe(OperatorSettings settings) {
    List<String> lines = new ArrayList<>();
    lines.add("leaderLeaseS " + settings.leaderLeaseS());
    lines.add("scaleDown " + settings.scaleDown());
    lines.add("scaleThresholdS " + settings.scaleThresholdS());
    lines.add("preemptFrom " + settings.preemptFrom());
    lines.add("patienceS " + settings.patienceS());
    lines.add("pressedSlackS " + settings.pressedSlackS());
    lines.add("lengthWeight " + settings.lengthWeight());
    lines.add("leastPart " + settings.leastPart());
    lines.add("leastPartAfterS " + settings.leastPartAfterS());
    lines.add("oldestPart " + settings.oldestPart());
    lines.add("beginWithinS " + settings.beginWithinS());
    lines.add("dearFactor " + settings.dearFactor());
    lines.add("dearShare " + settings.dearShare());
    lines.add("horizonS " + settings.horizonS());
    lines.add("ordinaryHorizonS " + settings.ordinaryHorizonS());
    lines.add("idleReturnBoots " + settings.idleReturnBoots());
    lines.add("minimumChargeS " + settings.minimumChargeS());
    lines.add("silenceS " + settings.silenceS());
    lines.add("bootPatience " + settings.bootPatience());
    lines.add("faultyAfter " + settings.faultyAfter());
    for (LaneRule lane : settings.lanes().rules()) {
      List<String> urgency = lane.priorities().stream().map(PriorityNames::of).sorted().toList();
      lines.add("lane " + lane.name() + " " + lane.classes() + " " + lane.teams() + " " + urgency);
    }
    for (DeadlineRule queue : settings.deadlineRules()) {
      lines.add(
          "readiness %s %s %s from %s to %s %s on %s, share %s"
              .formatted(
                  queue.queue(),
                  queue.classes(),
                  queue.teams(),
                  queue.opens(),
                  queue.dueBy(),
                  queue.zone(),
                  queue.days(),
                  queue.targetShare()));
    }
    return lines;
  }

  private static List<String> describe(PlatformSettings config) {
    List<String> lines = new ArrayList<>();
    lines.add("host_name " + config.host());
    lines.add("zone " + config.zone());
    lines.add("serve_on " + Addresses.text(config.listenAddress()));
    lines.add("mesh_addr " + Addresses.text(config.meshAddress()));
    for (int i = 0; i < config.peers().size(); i++) {
      lines.add(
          "siblings " + config.peerHosts().get(i) + " " + Addresses.text(config.peers().get(i)));
    }
    lines.add("endpoints.cloud " + Addresses.text(config.cloudAddress()));
    lines.add("endpoints.state " + Addresses.text(config.storeAddress()));
    lines.add("settings.size " + config.clusterSize());
    for (Policy.TeamQuota team : config.teams().values()) {
      lines.add(
          "settings.teams %s cpus %s to %s, gpus %s to %s"
              .formatted(
                  team.name(),
                  team.guaranteedCores(),
                  team.coreLimit(),
                  team.guaranteedGpus(),
                  team.gpuLimit()));
    }
    config.deadlineByClass().forEach((name, due) -> lines.add("finished " + name + " " + due.ms()));
    config
        .startTargetByClass()
        .forEach((name, wait) -> lines.add("wait " + name + " " + wait.ms()));
    lines.add("guarantee " + config.guaranteeStartTarget().ms());
    lines.add("workers.report_s " + config.heartbeatInterval().ms());
    lines.add("workers.lease_s " + config.workerLease().ms());
    lines.add("workers.cancel_s " + config.cancelTimeout().ms());
    lines.add("state.rps " + config.storeRequestsPerSecond());
    lines.add("state.write_rps " + config.storeWritesPerSecond());
    lines.add("state.value_kb " + config.maxValueKb());
    lines.add("state.txn_ops " + config.maxTransactionOperations());
    lines.add("cloud.rps " + config.cloudRequestsPerSecond());
    lines.add("cloud.list_lag_s " + config.cloudListLag().ms());
    lines.add("resources.sockets " + config.maxSockets());
    lines.add("resources.cpu " + config.cpuShare());
    lines.add("skew_ms " + config.clockSkew().ms());
    return lines;
  }

  /** Returns names used in records, results or paths. */
  private static List<String> names() {
    List<String> lines = new ArrayList<>();
    lines.add("rollout phases " + Arrays.toString(Rollout.Phase.values()));
    lines.add("rollout commands " + Arrays.toString(RolloutCommand.values()));
    for (Outcome outcome : Outcome.values()) {
      lines.add("result " + outcome.text());
    }
    for (Priority priority : Priority.values()) {
      lines.add("urgency " + PriorityNames.of(priority));
    }
    return lines;
  }
}
