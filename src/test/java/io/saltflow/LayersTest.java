package io.saltflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against dependencies that violate the layering and against side effects in the core. */
class LayersTest {
  private static final Path MAIN = Path.of("src/main/java/io/saltflow");
  private static final Pattern IMPORT =
      Pattern.compile("^import (?:static )?io\\.saltflow\\.(\\w+)\\.", Pattern.MULTILINE);
  private static final Pattern SIDE_EFFECT =
      Pattern.compile("System\\.(nanoTime|currentTimeMillis)|Math\\.random|java\\.n(et|io)\\.");
  private static final Map<String, List<String>> ALLOWED_DEPENDENCIES =
      Map.ofEntries(
          entry("model"),
          entry("admission", "model"),
          entry("amqp", "model"),
          entry("deadlines", "model"),
          entry("fairshare", "model"),
          entry("protocol", "model"),
          entry("priority", "model", "protocol"),
          entry("reachability", "model"),
          entry(
              "cluster", "model", "deadlines", "fairshare", "protocol", "priority", "reachability"),
          entry("binpacking", "model"),
          entry("dependencies", "model"),
          entry(
              "scheduler",
              "model",
              "deadlines",
              "fairshare",
              "priority",
              "cluster",
              "binpacking",
              "dependencies"),
          entry("autoscaler", "model", "cluster", "scheduler"),
          entry("faultattribution", "model"),
          entry("fencing", "model", "reachability", "cluster", "faultattribution"),
          entry(
              "leader",
              "model",
              "deadlines",
              "protocol",
              "priority",
              "cluster",
              "binpacking",
              "scheduler",
              "autoscaler",
              "fencing"),
          entry("clusterversion", "model"),
          entry("queues", "model", "protocol"),
          entry("processpause", "model"),
          entry("transport", "model", "protocol", "processpause"),
          entry("store", "model", "protocol", "transport"),
          entry(
              "records",
              "model",
              "deadlines",
              "protocol",
              "priority",
              "cluster",
              "binpacking",
              "leader",
              "clusterversion",
              "queues",
              "transport",
              "store"),
          entry("healthgates", "model"),
          entry("rollouts", "model", "healthgates"),
          entry("probes", "model", "protocol"),
          entry(
              "services",
              "model",
              "protocol",
              "cluster",
              "leader",
              "transport",
              "store",
              "records",
              "healthgates",
              "rollouts",
              "probes"),
          entry(
              "api",
              "model",
              "admission",
              "deadlines",
              "protocol",
              "priority",
              "cluster",
              "leader",
              "transport",
              "store",
              "records",
              "rollouts",
              "services"),
          entry(
              "broker",
              "model",
              "amqp",
              "protocol",
              "cluster",
              "leader",
              "queues",
              "transport",
              "store",
              "records"),
          entry("kv", "model", "protocol"),
          entry("raft", "model", "protocol"),
          entry("wal"),
          entry("kvserver", "model", "protocol", "transport", "kv", "raft", "wal"),
          entry(
              "config",
              "model",
              "deadlines",
              "fairshare",
              "protocol",
              "priority",
              "cluster",
              "leader",
              "queues",
              "transport",
              "store",
              "broker",
              "raft",
              "kvserver"),
          entry("cloud", "model", "protocol", "transport"),
          entry("election", "model", "protocol", "leader", "transport", "store"),
          entry("failuredetector", "model"),
          entry(
              "controller",
              "model",
              "admission",
              "deadlines",
              "protocol",
              "cluster",
              "autoscaler",
              "leader",
              "processpause",
              "transport",
              "store",
              "records",
              "services",
              "api",
              "broker",
              "config",
              "cloud",
              "election",
              "failuredetector"),
          entry("emulator", "model", "protocol", "transport", "kv"),
          entry("tracing", "rollouts", "services"),
          entry(
              "cli",
              "model",
              "protocol",
              "transport",
              "records",
              "services",
              "api",
              "broker",
              "kv",
              "kvserver",
              "config",
              "controller",
              "emulator",
              "tracing"),
          entry(
              "app",
              "model",
              "protocol",
              "cluster",
              "autoscaler",
              "leader",
              "transport",
              "records",
              "config",
              "controller",
              "cli"));

  private static Map.Entry<String, List<String>> entry(String layer, String... dependencies) {
    return Map.entry(layer, List.of(dependencies));
  }

  private static List<Path> sources(String layer) throws IOException {
    try (Stream<Path> files = Files.walk(MAIN.resolve(layer))) {
      return files.filter(f -> f.toString().endsWith(".java")).toList();
    }
  }

  @Test
  void importsFollowTheLayers() throws IOException {
    for (Map.Entry<String, List<String>> layer : ALLOWED_DEPENDENCIES.entrySet()) {
      List<Path> files = sources(layer.getKey());
      assertFalse(files.isEmpty(), layer.getKey());
      for (Path file : files) {
        Matcher matcher = IMPORT.matcher(Files.readString(file));
        while (matcher.find()) {
          boolean allowed =
              matcher.group(1).equals(layer.getKey())
                  || layer.getValue().contains(matcher.group(1));
          assertEquals(true, allowed, file + " uses " + matcher.group(1));
        }
      }
    }
  }

  /** Guards against loading the emulator on a controller's start-up path. */
  @Test
  void onlyLocalClusterUsesEmulator() throws IOException {
    for (Path file : sources("cli")) {
      boolean usesEmulator = Files.readString(file).contains("io.saltflow.emulator.");
      assertEquals(file.endsWith("LocalCluster.java"), usesEmulator, file.toString());
    }
  }

  @Test
  void coreUsesNoClockRandomnessOrIo() throws IOException {
    for (String core :
        List.of(
            "processpause",
            "faultattribution",
            "reachability",
            "admission",
            "binpacking",
            "priority",
            "deadlines",
            "failuredetector",
            "fairshare",
            "clusterversion",
            "dependencies",
            "cluster",
            "fencing",
            "scheduler",
            "autoscaler",
            "leader",
            "queues",
            "amqp",
            "healthgates",
            "rollouts",
            "probes",
            "kv",
            "wal",
            "raft")) {
      for (Path file : sources(core)) {
        String source = Files.readString(file).replace("java.nio.ByteBuffer", "bytes");
        source = source.replaceAll("java\\.nio\\.(BufferUnderflowException|charset)", "bytes");
        assertFalse(SIDE_EFFECT.matcher(source).find(), file.toString());
      }
    }
  }
}
