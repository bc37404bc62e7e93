package io.saltflow.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import at.favre.lib.crypto.bcrypt.BCrypt;
import io.saltflow.broker.AmqpSettings;
import io.saltflow.cli.HashPasswordCommand;
import io.saltflow.queues.QueueId;
import io.saltflow.queues.QueuePolicy;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against queue settings that are misread or accepted although they cannot work. */
class QueueSettingsTest {
  private static final String GOOD =
      """
      {
        "users": [{"name": "u", "hash": "$2a$04$%s", "hosts": ["/"]}],
        "hosts": [{"name": "/", "networks": ["10.0.0.0/8", "2001:db8::/32"]}],
        "queues": [{"name": "q", "results": "r", "deadLetters": "d", "ttlS": 5}]
      }"""
          .formatted("a".repeat(53));

  @TempDir Path folder;

  private AmqpSettings read(String text) throws ConfigException, IOException {
    return QueueSettings.read(Files.writeString(folder.resolve("queues.json"), text));
  }

  private static QueuePolicy queue(AmqpSettings settings, String name) {
    return settings.queues().stream()
        .filter(q -> q.id().equals(new QueueId("/", name)))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void defaultsApplyAndReferencedQueuesAreCreated() throws Exception {
    AmqpSettings settings = read(GOOD);
    assertEquals(5, queue(settings, "q").maxAttempts());
    assertTrue(queue(settings, "r").internal());
    assertTrue(queue(settings, "d").internal());
    assertTrue(QueueSettings.warnings(settings, Map.of()).isEmpty());
  }

  /** Checks the bundled queues of {@code local} against the schema that applies to files. */
  @Test
  void localDefaultsContainWorkOnceAndJobsQueues() throws Exception {
    Path bundled = Path.of("src/main/resources/queues-local.json");
    AmqpSettings settings = QueueSettings.read(bundled);
    assertEquals(settings, QueueSettings.localDefaults());
    assertTrue(queue(settings, "work").redeliverable());
    assertFalse(queue(settings, "once").redeliverable());
    assertTrue(queue(settings, "jobs").runsAsJobs());
    AmqpSettings.User guest = settings.users().get(0);
    assertTrue(BCrypt.verifyer().verify("guest".toCharArray(), guest.hash()).verified);
    Path deploy = Path.of("deploy/queues.json");
    assertEquals(List.of(), QueueSettings.warnings(QueueSettings.read(deploy), Map.of()));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "networks: '10.0.0.0/99' | 10.0.0.0/8 | 10.0.0.0/99",
        "does not match the regex | $2a$04$ | plain",
        "is not defined in the schema | \"ttlS\" | \"ttl\"",
        "r accepts published messages | [{\"name\": \"q\" | [{\"name\": \"r\"}, {\"name\": \"q\"",
        "defined twice | [{\"name\": \"q\" | [{\"name\": \"q\"}, {\"name\": \"q\"",
        "no such virtual host | {\"name\": \"q\" | {\"host\": \"x\", \"name\": \"q\"",
        "Unexpected | \"queues\": | \"queues\""
      })
  void invalidFieldIsNamed(String expected, String valid, String invalid) {
    ConfigException exception =
        assertThrows(ConfigException.class, () -> read(GOOD.replace(valid, invalid)));
    assertTrue(exception.getMessage().contains(expected), exception.getMessage());
    assertTrue(exception.getMessage().contains("queues.json"), exception.getMessage());
  }

  /** Guards against a queue that promises one delivery and starts its jobs' tasks again. */
  @Test
  void machinesWithoutRepeatsAreRefusedAndBothFieldsNamed() throws Exception {
    String queue = "{\"name\": \"q\", \"deliver\": \"machines\", \"repeats\": %s";
    ConfigException exception =
        assertThrows(
            ConfigException.class,
            () -> read(GOOD.replace("{\"name\": \"q\"", queue.formatted("false"))));
    for (String named : List.of("queues.json", "q", "'deliver' machines", "'repeats' false")) {
      assertTrue(exception.getMessage().contains(named), exception.getMessage());
    }
    assertTrue(
        queue(read(GOOD.replace("{\"name\": \"q\"", queue.formatted("true"))), "q").runsAsJobs());
    String consumers = "{\"name\": \"q\", \"repeats\": false";
    assertFalse(queue(read(GOOD.replace("{\"name\": \"q\"", consumers)), "q").redeliverable());
  }

  @Test
  void unusableQueueCausesWarnings() throws Exception {
    String unusable = "{\"name\": \"q\", \"deliver\": \"machines\", \"team\": \"none\"}";
    List<String> warnings =
        QueueSettings.warnings(
            read(GOOD.replaceAll("\\{\"name\": \"q\".*", unusable + "]")), Map.of());
    assertEquals(2, warnings.size(), warnings.toString());
    assertTrue(warnings.get(0).contains("unknown team 'none'"));
  }

  @Test
  void passwordIsReadFromStandardInputAndHashed() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(output, true);
    assertEquals(
        0,
        HashPasswordCommand.run(
            new ByteArrayInputStream("secret\n".getBytes(StandardCharsets.UTF_8)), out, out));
    assertTrue(
        BCrypt.verifyer()
            .verify("secret".toCharArray(), output.toString(StandardCharsets.UTF_8).trim())
            .verified);
    assertEquals(2, HashPasswordCommand.run(new ByteArrayInputStream(new byte[0]), out, out));
  }
}
