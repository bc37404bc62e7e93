package io.saltflow.tracing;

import io.opentelemetry.sdk.trace.IdGenerator;
import io.saltflow.services.RolloutEvent;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/**
 * Generates span and trace ids. Those of a rollout are derived from its identity, so that
 * successive leaders write to one trace without coordination.
 */
final class SpanIds implements IdGenerator {
  private final IdGenerator random = IdGenerator.random();
  private String nextSpanId;
  private String nextTraceId;

  /** Makes the next span the root span of a rollout. */
  void useRootIdsNext(RolloutEvent.RolloutId rollout) {
    nextSpanId = rootSpanId(rollout);
    nextTraceId = traceId(rollout);
  }

  @Override
  public String generateSpanId() {
    String id = nextSpanId == null ? random.generateSpanId() : nextSpanId;
    nextSpanId = null;
    return id;
  }

  @Override
  public String generateTraceId() {
    String id = nextTraceId == null ? random.generateTraceId() : nextTraceId;
    nextTraceId = null;
    return id;
  }

  static String traceId(RolloutEvent.RolloutId rollout) {
    UUID uuid = rolloutUuid(rollout);
    return String.format(
        "%016x%016x", uuid.getMostSignificantBits(), uuid.getLeastSignificantBits());
  }

  static String rootSpanId(RolloutEvent.RolloutId rollout) {
    UUID uuid = rolloutUuid(rollout);
    return String.format("%016x", uuid.getMostSignificantBits() ^ uuid.getLeastSignificantBits());
  }

  private static UUID rolloutUuid(RolloutEvent.RolloutId rollout) {
    String text =
        rollout.service()
            + "\0"
            + rollout.from()
            + "\0"
            + rollout.to()
            + "\0"
            + rollout.beganWallMs();
    return UUID.nameUUIDFromBytes(text.getBytes(StandardCharsets.UTF_8));
  }
}
