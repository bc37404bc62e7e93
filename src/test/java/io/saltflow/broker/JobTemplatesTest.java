package io.saltflow.broker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.queues.MessageJobFactory;
import io.saltflow.queues.QueueId;
import io.saltflow.queues.QueuePolicy;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of jobs created from job descriptions and from template parameters. */
class JobTemplatesTest {
  private static final QueueId PLAIN = new QueueId("/", "plain");
  private static final QueueId TEMPLATED = new QueueId("/", "passes");
  private static final JobId ID = new JobId("req-7");

  private final JobTemplates templates =
      new JobTemplates(
          Map.of(
              TEMPLATED,
              "{\"cores\": \"${cores}\", \"expectS\": 5, \"bundle\": \"pass-${lang}-${n}\"}"));

  private JobSpec createJob(QueueId queue, String body)
      throws MessageJobFactory.InvalidJobException {
    QueuePolicy policy =
        new QueuePolicy(
            queue,
            true,
            "class",
            "team",
            Priority.HIGH,
            new Resources(2, 0, 0),
            3,
            TimeSpan.millis(0),
            true,
            TimeSpan.seconds(1),
            null,
            null,
            10,
            null,
            false);
    return templates.createJob(policy, ID, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Guards against messages that run under another team or priority than their queue's. */
  @Test
  void queueSettingsOverrideJobDescription() throws MessageJobFactory.InvalidJobException {
    JobSpec job =
        createJob(PLAIN, "{\"expectS\": 3, \"crew\": \"other\", \"urgency\": \"critical\"}");
    assertEquals(ID, job.id());
    assertEquals("team", job.team());
    assertEquals(Priority.HIGH, job.priority());
    assertEquals(2, job.size().cores(), "cores default to the queue's size");
  }

  @Test
  void parametersKeepTheirTypeOrAreInsertedIntoText() throws MessageJobFactory.InvalidJobException {
    JobSpec job =
        createJob(TEMPLATED, "{\"cores\": 1.5, \"lang\": \"kk$1\", \"n\": 12, \"more\": true}");
    assertEquals(1.5, job.size().cores());
    assertEquals("pass-kk$1-12", job.image());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "plain  | not json | it is not JSON",
        "plain  | [1] | a map of fields is required",
        "plain  | {\"cores\": 1} | expectS: is missing",
        "plain  | {\"expectS\": 1, \"x\": 1} | unknown field 'x'",
        "plain  | {\"expectS\": -1} | expectS: out of range",
        "passes | {\"cores\": 1, \"lang\": \"kk\"} | parameter 'n' is missing",
        "passes | {\"cores\": \"many\", \"lang\": \"kk\", \"n\": 1} | cores: a number is required",
        "passes | {\"cores\": {}, \"lang\": \"kk\", \"n\": 1} | parameter 'cores' is missing"
      })
  void invalidMessageIsRejectedWithReason(String queue, String body, String reason) {
    MessageJobFactory.InvalidJobException exception =
        assertThrows(
            MessageJobFactory.InvalidJobException.class,
            () -> createJob(new QueueId("/", queue), body));
    assertEquals("no job can be made of it: " + reason, exception.getMessage());
  }
}
