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
 * Each rollout as one trace by the OpenTelemetry library: the rollout, its steps and phases, the
 * starts and probes within them, and what the gate says. Spans are handed to the library's own
 * thread over a bounded queue; what does not fit in is dropped, and the rollout knows nothing of
 * it.
 */
public final class RolloutTracer implements Consumer<RolloutEvent> {
  private static final int MAX_WAITING_SPANS = 4096;

  private final SpanIds ids;
  private final SdkTracerProvider provider;
  private final Tracer tracer;
  private final Map<RolloutId, PhaseSpan> phaseSpans = new HashMap<>();

  /** A phase under way, and the span of it. */
  private record PhaseSpan(Span span, int step, Rollout.Phase phase) {}

  /**
   * To a file, or to a collector.
   *
   * @param target a file's name, or an address such as {@code http://10.0.0.1:4318/v1/traces}
   * @param host this controller's name
   */
  public static RolloutTracer to(String target, String host) throws IOException {
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
    RolloutId which = event.id();
    if (event instanceof RolloutEvent.StateRecorded stands) {
      recordState(which, stands.rollout(), stands.wallMs());
    } else if (event instanceof RolloutEvent.VerdictChanged judged) {
      PhaseSpan phase = phaseSpans.get(which);
      if (phase != null) {
        phase.span.addEvent(
            "the gate is " + judged.verdict().name().toLowerCase(Locale.ROOT),
            Attributes.builder().put("reasons", String.join("; ", judged.reasons())).build(),
            judged.wallMs(),
            TimeUnit.MILLISECONDS);
      }
    } else if (event instanceof RolloutEvent.ReplicaStarted started) {
      childSpan(which, "start", started.wallMs() - started.tookMs())
          .startSpan()
          .end(started.wallMs(), MS);
    } else if (event instanceof RolloutEvent.ReplicaProbed probed) {
      long began = probed.wallMs() - Math.max(0, probed.ms());
      Span span = childSpan(which, "probe", began).setAttribute("at", probed.at()).startSpan();
      if (probed.ms() < 0) {
        span.setStatus(StatusCode.ERROR);
      }
      span.end(probed.wallMs(), MS);
    } else if (event instanceof RolloutEvent.LeadershipLost left) {
      PhaseSpan phase = phaseSpans.remove(which);
      if (phase != null) {
        phase.span.addEvent("this controller leads no longer", left.wallMs(), MS);
        phase.span.end(left.wallMs(), MS);
      }
    }
  }

  private static final TimeUnit MS = TimeUnit.MILLISECONDS;

  /** The rollout's span: written by whoever ends it, and known to all by its id. */
  private static Context rootContext(RolloutId which) {
    return Context.root()
        .with(
            Span.wrap(
                SpanContext.createFromRemoteParent(
                    SpanIds.traceId(which),
                    SpanIds.rootSpanId(which),
                    TraceFlags.getSampled(),
                    TraceState.getDefault())));
  }

  private SpanBuilder childSpan(RolloutId which, String name, long fromWallMs) {
    PhaseSpan phase = phaseSpans.get(which);
    Context parent = phase == null ? rootContext(which) : Context.root().with(phase.span);
    return tracer.spanBuilder(name).setParent(parent).setStartTimestamp(fromWallMs, MS);
  }

  private void recordState(RolloutId which, Rollout rollout, long wallMs) {
    PhaseSpan before = phaseSpans.get(which);
    if (before != null && before.step == rollout.step() && before.phase == rollout.phase()) {
      before.span.addEvent(
          rollout.desiredOld() + " old and " + rollout.desiredNew() + " new replicas are wanted",
          wallMs,
          MS);
      return;
    }
    if (before != null) {
      before.span.end(wallMs, MS);
      phaseSpans.remove(which);
    }
    if (rollout.phase().isFinal()) {
      recordRolloutSpan(which, rollout, wallMs);
      return;
    }
    String name =
        "step " + (rollout.step() + 1) + " " + rollout.phase().name().toLowerCase(Locale.ROOT);
    Span span =
        tracer
            .spanBuilder(name)
            .setParent(rootContext(which))
            .setStartTimestamp(wallMs, MS)
            .setAttribute("wanted.old", rollout.desiredOld())
            .setAttribute("wanted.new", rollout.desiredNew())
            .startSpan();
    phaseSpans.put(which, new PhaseSpan(span, rollout.step(), rollout.phase()));
  }

  private void recordRolloutSpan(RolloutId which, Rollout rollout, long wallMs) {
    ids.useRootIdsNext(which);
    Span root =
        tracer
            .spanBuilder("roll-out of " + which.service())
            .setNoParent()
            .setStartTimestamp(which.beganWallMs(), MS)
            .setAttribute("from", which.from())
            .setAttribute("to", which.to())
            .setAttribute("outcome", rollout.phase().name().toLowerCase(Locale.ROOT))
            .startSpan();
    if (rollout.phase() != Rollout.Phase.DONE) {
      root.setStatus(StatusCode.ERROR, rollout.reason());
    }
    root.end(wallMs, MS);
  }

  /** Ends in order: what waits is exported, within some seconds. */
  public void close() {
    provider.shutdown().join(5, TimeUnit.SECONDS);
  }
}
