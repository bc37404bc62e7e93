package io.saltflow.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cli.SaltflowCommand;
import io.saltflow.model.TimeSpan;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests for platform settings and for {@code check-config}. */
public class PlatformSettingsTest {
  public static final String SETTINGS =
      """
      host_name = "node-0"
      zone = "a"
      serve_on = "127.0.0.1:0"
      mesh_addr = "127.0.0.1:0"
      something_new = true
      [endpoints]
      cloud = "10.9.9.9:1"
      state = "10.9.9.9:1"
      [settings]
      size = 1
      zones = ["a"]
      [[settings.teams]]
      name = "red"
      cpus = 4.0
      cpus_max = 40.0
      [[settings.objectives]]
      kind = "finished"
      class = "pages"
      within_s = 300.0
      share = 0.9
      [[settings.objectives]]
      kind = "finished"
      class = "pages"
      within_s = 200.0
      share = 0.9
      [[settings.objectives]]
      kind = "wait"
      class = "pages"
      within_s = 90.0
      share = 0.9
      [[settings.objectives]]
      kind = "guarantee"
      within_s = 5.0
      share = 0.9
      [settings.workers]
      report_s = 3.0
      lease_s = 20.0
      cancel_s = 40.0
      [settings.state]
      rps = 100.0
      write_rps = 25.0
      value_kb = 8.0
      txn_ops = 8
      [settings.cloud]
      rps = 4.0
      list_lag_s = 5.0
      """;

  @TempDir Path folder;
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();

  private int run(String... args) {
    PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
    return SaltflowCommand.run(args, out, out);
  }

  private String file(String name, String text) throws IOException {
    Path file = folder.resolve(name);
    Files.writeString(file, text);
    return file.toString();
  }

  @Test
  void platformSettingsAreRead() throws ConfigException {
    PlatformSettings settings = PlatformSettings.parse(SETTINGS);
    assertEquals(40.0, settings.teams().get("red").coreLimit());
    assertEquals(
        TimeSpan.seconds(200),
        settings.deadlineByClass().get("pages"),
        "the shortest objective applies");
    assertEquals(8, settings.maxTransactionOperations());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "host_name | host_name = \"node-0\" | x = 1",
        "serve_on | 127.0.0.1:0 | localhost:0",
        "endpoints.state | state = \"10.9.9.9:1\" | state = \"10.9.9.9:99999\"",
        "settings.workers.lease_s | lease_s = 20.0 | lease_s = \"long\"",
        "settings.state.txn_ops | txn_ops = 8 | txn_ops = 0",
        "settings.cloud.rps | rps = 4.0 | rps = -1.0",
        "not TOML | [settings.cloud] | [settings.cloud"
      })
  void invalidFieldIsNamed(String field, String valid, String invalid) {
    ConfigException exception =
        assertThrows(
            ConfigException.class, () -> PlatformSettings.parse(SETTINGS.replace(valid, invalid)));
    assertTrue(exception.getMessage().startsWith(field), exception.getMessage());
  }

  /** Guards against a new or questionable platform setting keeping a controller from starting. */
  @Test
  void unknownFieldsAreIgnoredAndQuestionableValuesAreReported()
      throws ConfigException, IOException {
    String extended =
        SETTINGS.replace("[settings.cloud]", "[settings.moon]\nx = 1\n[settings.cloud]");
    assertEquals(List.of(), PlatformSettings.parse(extended).warnings());
    String guarantee = SETTINGS.replace("cpus = 4.0", "cpus = 400.0");
    assertEquals(0, run("check-config", "--config", file("guarantee.toml", guarantee)));
    assertTrue(output.toString(StandardCharsets.UTF_8).contains("red: cpus is more than cpus_max"));
    String none = SETTINGS.replaceAll("(?s)\\[\\[settings.teams.*?cpus_max = 40.0", "");
    assertTrue(PlatformSettings.parse(none).warnings().get(0).startsWith("settings.teams: none"));
  }

  /** Guards against writes that exceed an announced limit once it takes effect without notice. */
  @Test
  void lowerOfCurrentAndAnnouncedLimitApplies() throws ConfigException {
    String next =
        "[settings.state.next]\nrps = 120.0\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4\n";
    PlatformSettings settings = PlatformSettings.parse(SETTINGS + next);
    assertEquals(
        100.0,
        settings.storeRequestsPerSecond(),
        "an announced increase is not used before it takes effect");
    assertEquals(18.0, settings.storeWritesPerSecond());
    assertEquals(2.0, settings.maxValueKb());
    assertEquals(4, settings.maxTransactionOperations());
    assertEquals(List.of(), settings.warnings());
    PlatformSettings partial =
        PlatformSettings.parse(SETTINGS + "[settings.state.next]\nvalue_kb = 0.5\n");
    assertEquals(8, partial.maxTransactionOperations(), "limits that are not announced stay");
    assertTrue(partial.warnings().get(0).startsWith("settings.state.value_kb"));
    PlatformSettings minimal =
        PlatformSettings.parse(SETTINGS.replace("txn_ops = 8", "txn_ops = 1"));
    assertTrue(minimal.warnings().get(0).startsWith("settings.state.txn_ops"));
    ConfigException exception =
        assertThrows(
            ConfigException.class,
            () -> PlatformSettings.parse(SETTINGS + "[settings.state.next]\ntxn_ops = 0\n"));
    assertTrue(
        exception.getMessage().startsWith("settings.state.next.txn_ops"), exception.getMessage());
  }

  @Test
  void objectiveTimesAreRead() throws ConfigException {
    PlatformSettings settings = PlatformSettings.parse(SETTINGS);
    assertEquals(TimeSpan.seconds(90), settings.startTargetByClass().get("pages"));
    assertEquals(TimeSpan.seconds(5), settings.guaranteeStartTarget());
  }

  @Test
  void commandLineErrorsAreReported() throws IOException {
    String good = file("good.toml", SETTINGS);
    assertEquals(0, run("check-config", "--config", good));
    assertEquals(0, run("--help"));
    assertEquals(0, run("--version"));
    assertEquals(2, run("check-config", "--config", folder.resolve("none").toString()));
    assertEquals(2, run("check-config"));
    assertEquals(2, run("dance"));
    assertEquals(2, run("serve", "--config", file("bad.toml", "host_name = 3")));
    assertTrue(output.toString(StandardCharsets.UTF_8).contains("host_name: text is required"));
  }

  @Test
  void operatorSettingsAreValidatedAgainstSchema() throws IOException {
    String config = file("good.toml", SETTINGS);
    String good = file("ops.json", "{\"horizonS\": 30, \"preemptFrom\": \"critical\"}");
    assertEquals(0, run("check-config", "--config", config, "--settings", good));
    String unknown = file("unknown.json", "{\"horizon\": 30}");
    assertEquals(2, run("check-config", "--config", config, "--settings", unknown));
    assertTrue(output.toString(StandardCharsets.UTF_8).contains("horizon"));
    String range = file("range.json", "{\"scaleDown\": 2}");
    assertEquals(2, run("check-config", "--config", config, "--settings", range));
    assertEquals(2, run("check-config", "--config", config, "--settings", file("x.json", "{")));
  }

  /** Invalid lanes and deadline rules are rejected by field; questionable ones cause a warning. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "0 | doubtful: lane 'a': this site has no team x | 'lanes': [{'name': 'a', 'teams': ['x']}]",
        "0 | names the class x | 'lanes': [{'name': 'a', 'classes': ['x']}, {'name': 'b'}]",
        "2 | is there twice | 'lanes': [{'name': 'a', 'classes': ['x']}, {'name': 'a'}]",
        "2 | 'a' takes all | 'lanes': [{'name': 'a', 'teams': ['x']},"
            + " {'name': 'b', 'teams': ['x'], 'classes': ['c']}, {'name': 'c'}]",
        "2 | urgency | 'lanes': [{'name': 'a', 'urgency': ['soon']}]",
        "2 | zone: unknown time zone 'Mars/Base' | 'readiness': [{'queue': 'q',"
            + " 'opens': '18:00', 'by': '07:00', 'zone': 'Mars/Base'}]",
        "2 | opens: the same as by | 'readiness': [{'queue': 'q', 'opens': '07:00',"
            + " 'by': '07:00', 'zone': 'UTC'}]",
        "2 | by | 'readiness': [{'queue': 'q', 'opens': '07:00', 'by': '25:00', 'zone': 'UTC'}]",
        "0 | has no team x | 'readiness': [{'queue': 'q', 'teams': ['x'], 'opens': '18:00',"
            + " 'by': '07:00', 'zone': 'Asia/Almaty', 'days': ['mon'], 'share': 0.9}]"
      })
  void lanesAndDeadlineRulesAreValidated(int code, String expected, String settings)
      throws IOException {
    String config = file("good.toml", SETTINGS);
    String json = file("ops.json", "{" + settings.replace('\'', '"') + "}");
    assertEquals(code, run("check-config", "--config", config, "--settings", json));
    String text = output.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains(expected), text);
  }

  @Test
  void rolloutPlanIsCheckedAgainstServiceAndTeamLimit() throws IOException {
    String config = file("good.toml", SETTINGS);
    String service =
        file(
            "service.json",
            "{\"name\": \"a\", \"crew\": \"red\", \"replicas\": 20, \"cores\": 2, \"bundle\": \"x\"}");
    String plan = file("plan.json", "{\"mostUnavailable\": 1}");
    String[] arguments = {"check-config", "--config", config, "--service", service, "--plan", plan};
    assertEquals(0, run(arguments));
    file("plan.json", "{\"surge\": 2}");
    assertEquals(2, run(arguments));
    String text = output.toString(StandardCharsets.UTF_8);
    assertTrue(
        text.contains(
            "20 replicas and a surge of 2 are more than the limit of team red, and none may be"
                + " unavailable"),
        text);
    file("plan.json", "{\"mostUnavailable\": 1, \"gate\": \"ready >= 95% for 20m\"}");
    assertEquals(2, run(arguments));
    text = output.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("can never pass: ready >= 95% for 20m: longer than a step"), text);
    assertEquals(2, run("check-config", "--config", config, "--plan", plan));
  }
}
