package io.saltflow.coordination;

import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Predicted run times: the owner's estimate, corrected by what its class was seen to take. */
final class Estimates {
  private static final int ENOUGH = 8;
  private static final int MAX_CLASSES = 256;
  private static final Span SHORTEST = Span.seconds(1);

  private static final int MAX_RATIO = 100_000;

  /** Observed run times of a class, in parts of a hundred of what was estimated. */
  private static final class Seen {
    private final Histogram histogram = new Histogram(1, MAX_RATIO, 2);
    private double median = 1.0;
    private long nextLook = ENOUGH;

    boolean enough() {
      return histogram.getTotalCount() >= ENOUGH;
    }

    /** The median is read anew as the count grows, not at each prediction: reading it is slow. */
    void add(long ratio) {
      histogram.recordValue(ratio);
      if (histogram.getTotalCount() >= nextLook) {
        median = histogram.getValueAtPercentile(50) / 100.0;
        nextLook += Math.max(1, nextLook / 32);
      }
    }
  }

  private final Policy policy;
  private final Map<String, Seen> ratios = new HashMap<>();
  private Map<String, Double> inherited = Map.of();

  Estimates(Policy policy) {
    this.policy = policy;
  }

  void observed(JobSpec spec, Span ran) {
    if (spec.estimate().ms() <= 0 || ran.ms() <= 0) {
      return;
    }
    Seen seen = ratios.get(spec.jobClass());
    if (seen == null) {
      if (ratios.size() >= MAX_CLASSES) {
        return;
      }
      seen = new Seen();
      ratios.put(spec.jobClass(), seen);
    }
    seen.add(Math.max(1, Math.min(MAX_RATIO, ran.ms() * 100 / spec.estimate().ms())));
  }

  private double correction(JobSpec spec) {
    Seen seen = ratios.get(spec.jobClass());
    return seen == null || !seen.enough()
        ? inherited.getOrDefault(spec.jobClass(), 1.0)
        : seen.median;
  }

  /** What former leaders had seen of each class: it holds until enough was seen here. */
  void inherit(Map<String, Double> corrections) {
    inherited = Map.copyOf(corrections);
  }

  /**
   * The paper's Algorithm 2, for one task. Only tasks that checkpoint are scaled, and only from the
   * threshold on; one that was stopped gets what is left, and the time to save and restore.
   */
  Span predict(Job job, int index) {
    JobSpec spec = job.spec;
    Span ran = spec.checkpoints() ? job.ranBefore.get(index) : null;
    Span base =
        ran == null
            ? byItsOwner(spec).times(correction(spec))
            : spec.estimate().times(correction(spec)).minus(ran).plus(spec.save().times(2));
    return base.longerThan(SHORTEST) ? base : SHORTEST;
  }

  /**
   * The owner's estimate, scaled where the paper does that, without what its class was seen to
   * take.
   */
  Span byItsOwner(JobSpec spec) {
    boolean scaled = spec.checkpoints() && spec.estimate().compareTo(policy.scaleThreshold()) >= 0;
    return scaled ? spec.estimate().times(policy.scaleDown()) : spec.estimate();
  }

  /** What each class was seen to take, in parts of what was estimated. */
  Map<String, Double> corrections() {
    Map<String, Double> out = new HashMap<>();
    ratios.forEach(
        (c, seen) -> {
          if (seen.enough()) {
            out.put(c, seen.median);
          }
        });
    return out;
  }

  Span fetch(Job job, Machine m) {
    if (m.images.contains(job.spec.image())) {
      return new Span(0);
    }
    return Span.seconds(job.spec.imageGb() / Math.max(0.01, m.type.fetchGbPerS()));
  }

  /**
   * When a task that is on a machine should leave it; one that is overdue may take as long again.
   */
  Time end(Presence p, Time now) {
    if (p.stopping) {
      Time stop = p.stopAt.plus(p.grace).plus(Span.seconds(2));
      return Time.later(stop, now.plus(Span.millis(500)));
    }
    if (p.job.spec.daemon()) {
      return Time.NEVER;
    }
    Span run = predict(p.job, p.index);
    if (p.runningSince == null) {
      Span fetch =
          Span.seconds(p.job.spec.imageGb() / Math.max(0.01, p.machine.type.fetchGbPerS()));
      return Time.later(p.launchedAt.plus(fetch), now).plus(run);
    }
    Time due = p.runningSince.plus(run);
    if (due.after(now)) {
      return due;
    }
    return now.plus(now.since(p.runningSince).times(0.25)).plus(SHORTEST);
  }
}
