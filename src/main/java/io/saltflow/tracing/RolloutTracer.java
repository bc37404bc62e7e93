package io.saltflow.tracing;

import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanBuilder;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.TraceFlags;
import io.opentelemetry.api.trace.TraceState;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.saltflow.rollouts.Rollout;
import io.saltflow.services.RolloutEvent;
import io.saltflow.services.RolloutEvent.RolloutId;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Records each rollout as one OpenTelemetry trace with its phases, replica starts, probes and gate
 * verdicts. Spans pass to the library's thread over a bounded queue and are dropped when it is
 * full, without an effect on the rollout.
 */
public final class RolloutTracer implements Consumer<RolloutEvent> {
  private static final int MAX_WAITING_SPANS = 4096;

  private final SpanIds ids;
  private final SdkTracerProvider provider;
  private final Tracer tracer;
  private final Map<RolloutId, PhaseSpan> phaseSpans = new HashMap<>();

  /** The current phase of a rollout and its span. */
  private record PhaseSpan(Span span, int step, Rollout.Phase phase) {}

  /**
   * Creates a tracer that exports to a file or to a collector.
   *
   * @param target a file name, or a URL such as {@code http://10.0.0.1:4318/v1/traces}
   * @param host this controller's name
   */
  public static RolloutTracer create(String target, String host) throws IOException {
    SpanProcessor batches =
        BatchSpanProcessor.builder(Exporters.of(target))
            .setMaxQueueSize(MAX_WAITING_SPANS)
            .setScheduleDelay(Duration.ofSeconds(2))
            .build();
    return new RolloutTracer(batches, host);
  }

  RolloutTracer(SpanProcessor processor, String host) {
    ids = new SpanIds();
    provider =
        SdkTracerProvider.builder()
            .setIdGenerator(ids)
            .setResource(
                Resource.create(
                    Attributes.builder()
                        .put("service.name", "saltflow")
                        .put("host.name", host)
                        .build()))
            .addSpanProcessor(processor)
            .build();
    tracer = provider.get("io.saltflow.rollouts");
  }

  @Override
  public void accept(RolloutEvent event) {
    RolloutId id = event.id();
    if (event instanceof RolloutEvent.StateRecorded recorded) {
      recordState(id, recorded.rollout(), recorded.wallMs());
    } else if (event instanceof RolloutEvent.VerdictChanged changed) {
      PhaseSpan phase = phaseSpans.get(id);
      if (phase != null) {
        phase.span.addEvent(
            "the gate is " + changed.verdict().name().toLowerCase(Locale.ROOT),
            Attributes.builder().put("reasons", String.join("; ", changed.reasons())).build(),
            changed.wallMs(),
            TimeUnit.MILLISECONDS);
      }
    } else if (event instanceof RolloutEvent.ReplicaStarted started) {
      childSpan(id, "start", started.wallMs() - started.tookMs())
          .startSpan()
          .end(started.wallMs(), MS);
    } else if (event instanceof RolloutEvent.ReplicaProbed probed) {
      long began = probed.wallMs() - Math.max(0, probed.ms());
      Span span = childSpan(id, "probe", began).setAttribute("at", probed.at()).startSpan();
      if (probed.ms() < 0) {
        span.setStatus(StatusCode.ERROR);
      }
      span.end(probed.wallMs(), MS);
    } else if (event instanceof RolloutEvent.LeadershipLost left) {
      PhaseSpan phase = phaseSpans.remove(id);
      if (phase != null) {
        phase.span.addEvent("this controller leads no longer", left.wallMs(), MS);
        phase.span.end(left.wallMs(), MS);
      }
    }
  }

  private static final TimeUnit MS = TimeUnit.MILLISECONDS;

  /** Returns the context of the rollout's span, whose id every leader can derive. */
  private static Context rootContext(RolloutId id) {
    return Context.root()
        .with(
            Span.wrap(
                SpanContext.createFromRemoteParent(
                    SpanIds.traceId(id),
                    SpanIds.rootSpanId(id),
                    TraceFlags.getSampled(),
                    TraceState.getDefault())));
  }

  private SpanBuilder childSpan(RolloutId id, String name, long fromWallMs) {
    PhaseSpan phase = phaseSpans.get(id);
    Context parent = phase == null ? rootContext(id) : Context.root().with(phase.span);
    return tracer.spanBuilder(name).setParent(parent).setStartTimestamp(fromWallMs, MS);
  }

  private void recordState(RolloutId id, Rollout rollout, long wallMs) {
    PhaseSpan before = phaseSpans.get(id);
    if (before != null && before.step == rollout.step() && before.phase == rollout.phase()) {
      before.span.addEvent(
          rollout.desiredOld() + " old and " + rollout.desiredNew() + " new replicas are wanted",
          wallMs,
          MS);
      return;
    }
    if (before != null) {
      before.span.end(wallMs, MS);
      phaseSpans.remove(id);
    }
    if (rollout.phase().isFinal()) {
      recordRolloutSpan(id, rollout, wallMs);
      return;
    }
    String name =
        "step " + (rollout.step() + 1) + " " + rollout.phase().name().toLowerCase(Locale.ROOT);
    Span span =
        tracer
            .spanBuilder(name)
            .setParent(rootContext(id))
            .setStartTimestamp(wallMs, MS)
            .setAttribute("wanted.old", rollout.desiredOld())
            .setAttribute("wanted.new", rollout.desiredNew())
            .startSpan();
    phaseSpans.put(id, new PhaseSpan(span, rollout.step(), rollout.phase()));
  }

  private void recordRolloutSpan(RolloutId id, Rollout rollout, long wallMs) {
    ids.useRootIdsNext(id);
    Span root =
        tracer
            .spanBuilder("roll-out of " + id.service())
            .setNoParent()
            .setStartTimestamp(id.beganWallMs(), MS)
            .setAttribute("from", id.from())
            .setAttribute("to", id.to())
            .setAttribute("outcome", rollout.phase().name().toLowerCase(Locale.ROOT))
            .startSpan();
    if (rollout.phase() != Rollout.Phase.DONE) {
      root.setStatus(StatusCode.ERROR, rollout.reason());
    }
    root.end(wallMs, MS);
  }

  /** Exports pending spans, waiting for up to 5 s, and shuts down. */
  public void close() {
    provider.shutdown().join(5, TimeUnit.SECONDS);
  }
}
