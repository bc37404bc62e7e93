package io.saltflow.tracing;

import io.opentelemetry.sdk.trace.IdGenerator;
import io.saltflow.services.RolloutEvent;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/**
 * Ids of spans. A rollout's own are made from what it is, so that the leaders that follow each
 * other write into one trace without telling each other anything.
 */
final class SpanIds implements IdGenerator {
  private final IdGenerator random = IdGenerator.random();
  private String nextSpanId;
  private String nextTraceId;

  /** The next span is a rollout's own. */
  void useRootIdsNext(RolloutEvent.RolloutId which) {
    nextSpanId = rootSpanId(which);
    nextTraceId = traceId(which);
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

  static String traceId(RolloutEvent.RolloutId which) {
    UUID uuid = rolloutUuid(which);
    return String.format(
        "%016x%016x", uuid.getMostSignificantBits(), uuid.getLeastSignificantBits());
  }

  static String rootSpanId(RolloutEvent.RolloutId which) {
    UUID uuid = rolloutUuid(which);
    return String.format("%016x", uuid.getMostSignificantBits() ^ uuid.getLeastSignificantBits());
  }

  private static UUID rolloutUuid(RolloutEvent.RolloutId which) {
    String text =
        which.service() + "\0" + which.from() + "\0" + which.to() + "\0" + which.beganWallMs();
    return UUID.nameUUIDFromBytes(text.getBytes(StandardCharsets.UTF_8));
  }
}
