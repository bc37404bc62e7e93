package io.saltflow.healthgates;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Observations of the new version's replicas in a window of bounded length and size; the oldest are
 * dropped first. Probes that could not be made are not recorded.
 */
public final class ReplicaObservations implements Observations {
  private static final int MAX_EVENTS = 4096;
  private static final int MAX_PATHS = 16;
  private static final TimeSpan RETENTION = TimeSpan.seconds(3600);
  private static final TimeSpan PROBE_WINDOW = TimeSpan.seconds(60);
  private static final TimeSpan MAX_READY_AGE = TimeSpan.seconds(15);
  private static final long MAX_LATENCY_MS = 600_000;

  /** An exit of a replica's task. */
  private record Exit(MonotonicTime at, String cause, boolean failure) {}

  /** A latency sample; negative if the probe failed or timed out. */
  private record Sample(MonotonicTime at, long ms) {}

  private final Map<String, ArrayDeque<Sample>> probes = new HashMap<>();
  private final ArrayDeque<Exit> exits = new ArrayDeque<>();
  private final ArrayDeque<Sample> startLatencies = new ArrayDeque<>();
  private final ArrayDeque<MonotonicTime> restarts = new ArrayDeque<>();
  private final Histogram histogram = new Histogram(MAX_LATENCY_MS, 2);
  private MonotonicTime stepCompletedAt;
  private MonotonicTime readyUpdatedAt = MonotonicTime.LONG_AGO;
  private double ready;

  /** Sets the share of desired replicas that are ready. Ignored while none is desired. */
  public void ready(int count, int wanted, MonotonicTime now) {
    if (wanted > 0) {
      ready = count / (double) wanted;
      readyUpdatedAt = now;
    }
  }

  /** Records that another step has started and is not complete yet. */
  public void stepStarted() {
    stepCompletedAt = null;
  }

  /**
   * Records that the step is complete; earlier observations still count. Called at each evaluation,
   * so only the first call sets the time: a gate on {@code age} could never pass otherwise.
   */
  public void stepCompleted(MonotonicTime now) {
    if (stepCompletedAt == null) {
      stepCompletedAt = now;
    }
  }

  /**
   * Handles an interruption of the observations. The ready replicas and the age of the step are
   * unknown until they are set again; events before the interruption still count.
   */
  public void interrupted() {
    readyUpdatedAt = MonotonicTime.LONG_AGO;
    stepCompletedAt = null;
  }

  /** Records that a replica's task exited. */
  public void recordExit(String cause, boolean failure, MonotonicTime now) {
    addBounded(exits, new Exit(now, cause, failure));
  }

  /** Records that a replica was restarted. */
  public void recordRestart(MonotonicTime now) {
    addBounded(restarts, now);
  }

  /** Records the time from a replica's launch until it ran, including the image fetch. */
  public void recordStart(TimeSpan took, MonotonicTime now) {
    addBounded(startLatencies, new Sample(now, took.ms()));
  }

  /** Records a probe: its latency, or a negative value if it failed. */
  public void recordProbe(String path, long ms, MonotonicTime now) {
    ArrayDeque<Sample> samples = probes.get(path);
    if (samples == null && probes.size() < MAX_PATHS) {
      samples = new ArrayDeque<>();
      probes.put(path, samples);
    }
    if (samples != null) {
      addBounded(samples, new Sample(now, ms));
    }
  }

  private static <T> void addBounded(ArrayDeque<T> list, T item) {
    if (list.size() >= MAX_EVENTS) {
      list.poll();
    }
    list.add(item);
  }

  /** Drops observations that no gate can refer to any more. */
  public void dropExpired(MonotonicTime now) {
    MonotonicTime from = new MonotonicTime(now.ms() - RETENTION.ms());
    exits.removeIf(e -> e.at.before(from));
    startLatencies.removeIf(a -> a.at.before(from));
    restarts.removeIf(t -> t.before(from));
    probes.values().forEach(p -> p.removeIf(a -> a.at.before(from)));
  }

  @Override
  public Double value(Quantity quantity, MonotonicTime now) {
    return switch (quantity.measure()) {
      case READY -> now.since(readyUpdatedAt).longerThan(MAX_READY_AGE) ? null : ready;
      case AGE -> stepCompletedAt == null ? null : (double) now.since(stepCompletedAt).ms();
      case FAILURES -> count(quantity, now, true);
      case EXITS -> count(quantity, now, false);
      case RESTARTS ->
          hasCurrentData(now)
              ? (double) restarts.stream().filter(t -> within(t, quantity.window(), now)).count()
              : null;
      case STARTUP -> percentile(startLatencies, RETENTION, quantity, now);
      case PROBE ->
          percentile(
              probes.getOrDefault(quantity.text(), new ArrayDeque<>()),
              PROBE_WINDOW,
              quantity,
              now);
    };
  }

  /** Returns whether counts are known: missing reports do not mean that there were no failures. */
  private boolean hasCurrentData(MonotonicTime now) {
    return !now.since(readyUpdatedAt).longerThan(MAX_READY_AGE);
  }

  private static boolean within(MonotonicTime at, TimeSpan window, MonotonicTime now) {
    return !now.since(at).longerThan(window);
  }

  private Double count(Quantity quantity, MonotonicTime now, boolean failures) {
    if (!hasCurrentData(now)) {
      return null;
    }
    return (double)
        exits.stream()
            .filter(e -> within(e.at, quantity.window(), now))
            .filter(e -> failures ? e.failure : e.cause.equals(quantity.text()))
            .count();
  }

  private Double percentile(
      ArrayDeque<Sample> samples, TimeSpan window, Quantity quantity, MonotonicTime now) {
    histogram.reset();
    int all = 0;
    for (Sample sample : samples) {
      if (within(sample.at, window, now)) {
        all++;
        if (sample.ms >= 0) {
          histogram.recordValue(Math.min(sample.ms, MAX_LATENCY_MS));
        }
      }
    }
    if (quantity.field().equals("count")) {
      return (double) all;
    }
    if (all == 0) {
      return null;
    }
    if (quantity.field().equals("ok")) {
      return histogram.getTotalCount() / (double) all;
    }
    double part =
        quantity.field().equals("max")
            ? 1
            : Integer.parseInt(quantity.field().substring(1)) / 100.0;
    // Failed probes rank as slower than any other, so that the percentile covers all probes.
    double rank = part * all;
    if (rank > histogram.getTotalCount()) {
      return Double.POSITIVE_INFINITY;
    }
    return (double) histogram.getValueAtPercentile(100 * rank / histogram.getTotalCount());
  }
}
