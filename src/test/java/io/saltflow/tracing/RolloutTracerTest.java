package io.saltflow.tracing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.saltflow.healthgates.TernaryTruth;
import io.saltflow.rollouts.Rollout;
import io.saltflow.services.RolloutEvent;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.LoopThread;
import io.saltflow.transport.Routine;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the trace of a rollout across a failover, and its export. */
class RolloutTracerTest {
  private static final RolloutEvent.RolloutId ROLLOUT_ID =
      new RolloutEvent.RolloutId("thumbs", "v1", "v2", 1_000_000);

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private static final class RecordingExporter implements SpanExporter {
    final List<SpanData> spans = new ArrayList<>();

    @Override
    public CompletableResultCode export(Collection<SpanData> some) {
      spans.addAll(some);
      return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
      return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
      return CompletableResultCode.ofSuccess();
    }
  }

  private static Rollout rolloutIn(Rollout.Phase phase, String reason) {
    return new Rollout(2, 0, phase, null, 2, 1, 1_000_000, 0, List.of(), reason);
  }

  private static void recordState(RolloutTracer rolloutTracer, Rollout rollout, long wallMs) {
    rolloutTracer.accept(new RolloutEvent.StateRecorded(ROLLOUT_ID, rollout, wallMs));
  }

  @Test
  void traceContinuesAfterFailover() {
    RecordingExporter kept = new RecordingExporter();
    RolloutTracer first = new RolloutTracer(SimpleSpanProcessor.create(kept), "a");
    recordState(first, rolloutIn(Rollout.Phase.MOVING, ""), 1_000_100);
    first.accept(new RolloutEvent.ReplicaStarted(ROLLOUT_ID, 700, 1_000_900));
    recordState(first, rolloutIn(Rollout.Phase.CHECKING, ""), 1_001_000);
    first.accept(new RolloutEvent.ReplicaProbed(ROLLOUT_ID, "10.0.0.1:9000/", -1, 1_001_500));
    first.accept(new RolloutEvent.LeadershipLost(ROLLOUT_ID, 1_002_000));
    RolloutTracer second = new RolloutTracer(SimpleSpanProcessor.create(kept), "b");
    recordState(second, rolloutIn(Rollout.Phase.CHECKING, ""), 1_003_000);
    second.accept(
        new RolloutEvent.VerdictChanged(
            ROLLOUT_ID, TernaryTruth.FALSE, List.of("ready: 50%"), 1_004_000));
    recordState(second, rolloutIn(Rollout.Phase.BACK, "too slow"), 1_005_000);
    recordState(second, rolloutIn(Rollout.Phase.ROLLED_BACK, "too slow"), 1_006_000);
    Set<String> traces = kept.spans.stream().map(SpanData::getTraceId).collect(Collectors.toSet());
    assertEquals(1, traces.size());
    SpanData root = kept.spans.get(kept.spans.size() - 1);
    List<String> spans = new ArrayList<>();
    for (SpanData spanData : kept.spans) {
      boolean below = spanData.getParentSpanId().equals(root.getSpanId());
      long ms =
          TimeUnit.NANOSECONDS.toMillis(
              spanData.getEndEpochNanos() - spanData.getStartEpochNanos());
      spans.add(
          (below ? "  " : spanData == root ? "" : "    ") + spanData.getName() + ", " + ms + " ms");
    }
    assertEquals(
        List.of(
            "    start, 700 ms",
            "  step 1 moving, 900 ms",
            "    probe, 0 ms",
            "  step 1 checking, 1000 ms",
            "  step 1 checking, 2000 ms",
            "  step 1 back, 1000 ms",
            "roll-out of thumbs, 6000 ms"),
        spans);
    assertEquals("too slow", root.getStatus().getDescription());
    assertEquals("the gate is false", kept.spans.get(4).getEvents().get(0).getName());
  }

  @Test
  void fileContainsOtlpJsonLines(@TempDir Path folder) throws Exception {
    RolloutTracer rolloutTracer = RolloutTracer.create(folder.resolve("traces").toString(), "a");
    recordState(rolloutTracer, rolloutIn(Rollout.Phase.MOVING, ""), 1_000_100);
    recordState(rolloutTracer, rolloutIn(Rollout.Phase.DONE, ""), 1_009_000);
    rolloutTracer.close();
    String line = Files.readAllLines(folder.resolve("traces0")).get(0);
    JsonNode node = new ObjectMapper().readTree(line);
    assertTrue(node.toString().contains("roll-out of thumbs"), line);
    assertTrue(node.toString().contains("\"traceId\":\"" + SpanIds.traceId(ROLLOUT_ID)), line);
  }

  @Test
  void collectorReceivesSpansOverHttp() throws Exception {
    BlockingQueue<String> posted = new LinkedBlockingQueue<>();
    EventLoop loop = new EventLoop();
    Root root = new Root();
    HttpServer collector =
        new HttpServer(
            root,
            loop,
            Addresses.parse("127.0.0.1:0"),
            4,
            (method, target, body, answer) -> {
              posted.add(
                  method
                      + " "
                      + target
                      + " "
                      + new String(body, StandardCharsets.ISO_8859_1).contains("of thumbs"));
              answer.accept(HttpResponse.empty(200));
            });
    LoopThread thread = LoopThread.start(loop, root);
    RolloutTracer rolloutTracer =
        RolloutTracer.create("http://127.0.0.1:" + collector.port() + "/v1/traces", "a");
    recordState(rolloutTracer, rolloutIn(Rollout.Phase.MOVING, ""), 1_000_100);
    recordState(rolloutTracer, rolloutIn(Rollout.Phase.DONE, ""), 1_009_000);
    rolloutTracer.close();
    assertEquals("POST /v1/traces true", posted.poll(30, TimeUnit.SECONDS));
    thread.stop();
  }
}
