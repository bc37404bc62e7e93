package io.saltflow.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.Attempt;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.DecoderFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against invalid messages that are accepted and valid ones that are rejected or altered.
 */
class CodecTest {
  private static MessageBody jobBody() {
    return MessageBody.of()
        .with("id", "req-000412")
        .with("lane", "train")
        .with("crew", "vision")
        .with("shape", "array")
        .with("urgency", "high")
        .with("shards", 16)
        .with("cores", 8.0)
        .with("gpus", 1)
        .with("ramGb", 64.0)
        .with("bundle", "img-07")
        .with("sizeGb", 6.2)
        .with("rigs", List.of("g8"))
        .with("yard", null)
        .with("together", true)
        .with("apart", false)
        .with("loaners", true)
        .with("expectS", 240.0)
        .with("snapshotS", 30.0)
        .with("flushS", 4.0)
        .with("dueS", 900.0)
        .with("somethingNew", List.of(1, 2));
  }

  private static MessageBody roundTrip(MessageBody messageBody) throws InvalidMessageException {
    return MessagePackCodec.decode(MessagePackCodec.encode(messageBody));
  }

  @Test
  void decodedJobEqualsItsReencoding() throws InvalidMessageException {
    JobSpec spec = JobCodec.decode(roundTrip(jobBody()));
    assertEquals(new Resources(8, 1, 64), spec.size());
    assertEquals(Priority.HIGH, spec.priority());
    assertEquals(spec, JobCodec.decode(roundTrip(JobCodec.encode(spec))));
    MessageBody withoutOptionalFields = jobBody();
    withoutOptionalFields.fields().keySet().removeAll(List.of("rigs", "yard", "dueS"));
    assertEquals(null, JobCodec.decode(roundTrip(withoutOptionalFields)).deadline());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "id",
        "lane",
        "crew",
        "shape",
        "urgency",
        "shards",
        "cores",
        "gpus",
        "ramGb",
        "bundle",
        "sizeGb",
        "together",
        "apart",
        "loaners",
        "expectS",
        "snapshotS",
        "flushS"
      })
  void missingOrMistypedFieldIsRejectedByName(String field) {
    MessageBody missing = jobBody();
    missing.fields().remove(field);
    InvalidMessageException exception =
        assertThrows(InvalidMessageException.class, () -> JobCodec.decode(roundTrip(missing)));
    assertTrue(exception.getMessage().startsWith(field), exception.getMessage());
    MessageBody mistyped = jobBody().with(field, List.of());
    assertThrows(InvalidMessageException.class, () -> JobCodec.decode(roundTrip(mistyped)));
  }

  @Test
  void outOfRangeValuesAreRejected() {
    for (Object[] bad :
        new Object[][] {
          {"cores", -1.0},
          {"cores", Double.NaN},
          {"cores", Double.POSITIVE_INFINITY},
          {"shards", 0},
          {"shards", 100_001},
          {"shards", 2.5},
          {"shards", -1L},
          {"id", "req-"},
          {"id", "job-1"},
          {"id", "req-12x"},
          {"id", "req-1/../../x"},
          {"shape", "gang"},
          {"urgency", "low"},
          {"rigs", "g8"},
          {"rigs", List.of(1)}
        }) {
      MessageBody messageBody = jobBody().with((String) bad[0], bad[1]);
      assertThrows(
          InvalidMessageException.class,
          () -> JobCodec.decode(roundTrip(messageBody)),
          bad[0] + "=" + bad[1]);
    }
  }

  /** Guards compatibility with earlier versions, which send no dependencies. */
  @Test
  void invalidDependenciesAreRejectedByName() throws InvalidMessageException {
    MessageBody plain = roundTrip(jobBody());
    assertEquals(List.of(), JobCodec.decode(plain).dependencies());
    assertEquals(null, JobCodec.encode(JobCodec.decode(plain)).get("awaits"));
    List<String> maximum = IntStream.range(0, 32).mapToObj(n -> "req-" + n).toList();
    JobSpec spec = JobCodec.decode(roundTrip(jobBody().with("awaits", maximum)));
    assertEquals(maximum, spec.dependencies().stream().map(JobId::text).toList());
    assertEquals(spec, JobCodec.decode(roundTrip(JobCodec.encode(spec))));
    for (Object bad :
        new Object[] {
          IntStream.range(0, 33).mapToObj(n -> "req-" + n).toList(),
          List.of("req-1", "req-2", "req-1"),
          List.of("req-000412"),
          List.of("job-1"),
          List.of("req-1/../../x"),
          List.of(7),
          "req-1",
          MessageBody.of().with("req-1", 1)
        }) {
      MessageBody messageBody = jobBody().with("awaits", bad);
      InvalidMessageException exception =
          assertThrows(
              InvalidMessageException.class, () -> JobCodec.decode(roundTrip(messageBody)));
      assertTrue(exception.getMessage().startsWith("awaits: "), exception.getMessage());
    }
  }

  /** Guards against huge declared sizes, deep nesting and truncated messages. */
  @Test
  void malformedMessagePackIsRejected() {
    byte[] whole = MessagePackCodec.encode(jobBody());
    for (int cut = 0; cut < whole.length; cut++) {
      byte[] part = Arrays.copyOf(whole, cut);
      assertThrows(
          InvalidMessageException.class, () -> MessagePackCodec.decode(part), "cut at " + cut);
    }
    byte[] huge = {(byte) 0xdf, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
    assertThrows(InvalidMessageException.class, () -> MessagePackCodec.decode(huge));
    byte[] deep = new byte[60_000];
    Arrays.fill(deep, (byte) 0x91);
    assertThrows(InvalidMessageException.class, () -> MessagePackCodec.decode(deep));
    assertThrows(
        InvalidMessageException.class,
        () -> MessagePackCodec.decode(new byte[] {(byte) 0x93, 1, 2, 3}));
    assertThrows(
        InvalidMessageException.class,
        () -> MessagePackCodec.decode(Arrays.copyOf(whole, whole.length + 1)));
  }

  @Test
  void unsigned64BitIntegersKeepTheirBits() throws InvalidMessageException {
    byte[] max = {(byte) 0x81, (byte) 0xa1, 'n', (byte) 0xcf, -1, -1, -1, -1, -1, -1, -1, -1};
    assertEquals(-1L, MessagePackCodec.decode(max).integer("n"));
    assertTrue(new Term(-1L).compareTo(new Term(5)) > 0);
    assertEquals("18446744073709551615", new Attempt(-1L).toString());
  }

  @Test
  void heartbeatIsDecodedAndCommandsAreEncoded() throws InvalidMessageException {
    MessageBody task =
        MessageBody.of()
            .with("shard", "req-000398/0")
            .with("try", 1)
            .with("phase", "exited")
            .with("cause", "done");
    MessageBody messageBody =
        MessageBody.of()
            .with("host", "vm-000231")
            .with("addr", "10.1.0.232:9000")
            .with("rig", "g8")
            .with("yard", "a")
            .with("loaners", true)
            .with("shift", 1)
            .with("tick", 88)
            .with("baton", 41)
            .with("warningS", null)
            .with("shards", List.of(task));
    WorkerHeartbeat workerHeartbeat = WorkerCodec.decodeHeartbeat(roundTrip(messageBody));
    assertEquals(WorkerHeartbeat.ExitCause.DONE, workerHeartbeat.tasks().get(0).cause());
    assertTrue(workerHeartbeat.newerThan(1, 87));
    WorkerCommand stop =
        new WorkerCommand.Stop(
            workerHeartbeat.tasks().get(0).task(), new Attempt(1), TimeSpan.seconds(10));
    MessageBody answer = roundTrip(WorkerCodec.encodeCommands(new Term(41), List.of(stop)));
    assertEquals(
        "{verb=halt, shard=req-000398/0, try=1, windDownS=10.0}",
        new LinkedHashMap<>(answer.maps("orders").get(0).fields()).toString());
  }

  /** Guards against a field-by-field encoding that deviates from the published schema. */
  @Test
  void peerHeartbeatMatchesItsAvroSchema() throws IOException, InvalidMessageException {
    List<PeerHeartbeat.JobCounts> counts = new ArrayList<>();
    counts.add(new PeerHeartbeat.JobCounts(new JobId("req-1"), 2, 3));
    PeerHeartbeat heartbeat =
        new PeerHeartbeat(
            "saltbox-1",
            new Term(9),
            true,
            40,
            counts,
            true,
            List.of(new PeerHeartbeat.UnansweredJob(new JobId("req-000003"), TimeSpan.seconds(7))),
            1_700_000_000_000L,
            true);
    assertEquals(heartbeat, PeerHeartbeat.decode(heartbeat.encode()));
    try (InputStream in = PeerHeartbeat.class.getResourceAsStream("/mesh.avsc")) {
      Schema schema = new Schema.Parser().parse(in);
      GenericRecord record =
          new GenericDatumReader<GenericRecord>(schema)
              .read(null, DecoderFactory.get().binaryDecoder(heartbeat.encode(), null));
      assertEquals("saltbox-1", record.get("host").toString());
      assertEquals(
          "[{\"job\": \"req-1\", \"done\": 2, \"running\": 3}]", record.get("jobs").toString());
      assertEquals(true, record.get("cascades"));
    }
    assertThrows(InvalidMessageException.class, () -> PeerHeartbeat.decode(new byte[] {2, 'x', 1}));
    byte[] bytes =
        new PeerHeartbeat("b", new Term(9), true, 40, counts, true, List.of(), 0, false).encode();
    PeerHeartbeat decoded = PeerHeartbeat.decode(Arrays.copyOf(bytes, bytes.length - 1));
    assertFalse(decoded.cancelsDependents(), "version without job dependencies");
    decoded = PeerHeartbeat.decode(Arrays.copyOf(bytes, bytes.length - 3));
    assertTrue(
        decoded.probesReplicas() && decoded.unanswered().isEmpty(),
        "version without unanswered jobs");
    decoded = PeerHeartbeat.decode(Arrays.copyOf(bytes, bytes.length - 4));
    assertFalse(decoded.probesReplicas(), "version without replica probing");
  }

  @Test
  void probeFramesMatchTheirAvroSchemaAndAreNotPeerHeartbeats()
      throws IOException, InvalidMessageException {
    List<ProbeFrame.ProbeTarget> targets =
        List.of(
            new ProbeFrame.ProbeTarget("10.0.0.1", 9000, "/"),
            new ProbeFrame.ProbeTarget("10.0.0.2", 9001, ""));
    List<Long> latencies = List.of(12L, ProbeFrame.UNREACHABLE);
    try (InputStream in = PeerHeartbeat.class.getResourceAsStream("/probes.avsc")) {
      Schema schema = new Schema.Parser().parse(in);
      for (ProbeFrame frame :
          List.of(
              new ProbeFrame.ProbeRequest("b", "a", 7, 3000, targets),
              new ProbeFrame.ProbeResponse("a", "b", 7, latencies))) {
        byte[] bytes = frame.encode();
        assertTrue(ProbeFrame.isProbeFrame(bytes));
        assertEquals(frame, ProbeFrame.decode(bytes));
        assertThrows(InvalidMessageException.class, () -> PeerHeartbeat.decode(bytes));
        byte[] record = Arrays.copyOfRange(bytes, 1, bytes.length);
        GenericRecord read =
            new GenericDatumReader<GenericRecord>(schema)
                .read(null, DecoderFactory.get().binaryDecoder(record, null));
        assertEquals(7L, read.get("batch"));
        for (int cut = 0; cut < bytes.length; cut++) {
          byte[] part = Arrays.copyOf(bytes, cut);
          assertThrows(InvalidMessageException.class, () -> ProbeFrame.decode(part));
        }
      }
    }
  }
}
