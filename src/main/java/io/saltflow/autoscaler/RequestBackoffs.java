package io.saltflow.autoscaler;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.HashMap;
import java.util.Map;

/** Exponential backoff for each kind of instance that the cloud has refused. */
final class RequestBackoffs {
  private static final TimeSpan INITIAL_BACKOFF = TimeSpan.seconds(8);
  private static final TimeSpan MAX_BACKOFF = TimeSpan.seconds(60);

  /** Time after the end of a backoff during which the kind is not relied upon. */
  private static final TimeSpan RECENT_REFUSAL_WINDOW = TimeSpan.seconds(60);

  private record Backoff(MonotonicTime until, TimeSpan duration) {}

  private final Map<String, Backoff> backoffs = new HashMap<>();

  /** Returns whether the kind must not be requested yet. */
  boolean isBackedOff(InstanceKind kind, MonotonicTime now) {
    Backoff backoff = backoffs.get(kind.toString());
    return backoff != null && now.before(backoff.until);
  }

  /** Returns whether the kind is backed off, or was until recently. */
  boolean wasRefusedRecently(InstanceKind kind, MonotonicTime now) {
    Backoff backoff = backoffs.get(kind.toString());
    return backoff != null && now.before(backoff.until.plus(RECENT_REFUSAL_WINDOW));
  }

  /** Returns whether any kind is backed off. */
  boolean isAnyBackedOff(MonotonicTime now) {
    for (Backoff backoff : backoffs.values()) {
      if (now.before(backoff.until)) {
        return true;
      }
    }
    return false;
  }

  /** Records that the cloud granted a request for this kind in full. */
  void onGranted(InstanceKind kind) {
    backoffs.remove(kind.toString());
  }

  /**
   * Records that the cloud granted less than was requested of this kind.
   *
   * @param anyGranted whether it granted some machines, which resets the backoff to its initial
   *     duration
   */
  void onRefused(InstanceKind kind, boolean anyGranted, MonotonicTime now) {
    Backoff previous = backoffs.get(kind.toString());
    TimeSpan duration =
        previous == null || anyGranted ? INITIAL_BACKOFF : previous.duration.times(2);
    if (duration.longerThan(MAX_BACKOFF)) {
      duration = MAX_BACKOFF;
    }
    backoffs.put(kind.toString(), new Backoff(now.plus(duration), duration));
  }
}
