package io.saltflow.cluster;

import io.saltflow.model.JobSpec;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Predicts run times from the owner's estimate and the observed run times of the job's class. */
public final class RunTimeEstimates {
  private static final int MIN_SAMPLES = 8;
  private static final int MAX_CLASSES = 256;
  private static final TimeSpan MIN_RUN_TIME = TimeSpan.seconds(1);

  private static final int MAX_RATIO_PERCENT = 100_000;

  /** Observed run times of a class, as percentages of their estimates. */
  private static final class ObservedRatios {
    private final Histogram histogram = new Histogram(1, MAX_RATIO_PERCENT, 2);
    private double median = 1.0;
    private long nextMedianUpdate = MIN_SAMPLES;

    boolean hasEnoughSamples() {
      return histogram.getTotalCount() >= MIN_SAMPLES;
    }

    /**
     * Records a ratio. The median is updated here as the count grows, because computing it for each
     * prediction would be slow.
     */
    void recordRatio(long ratioPercent) {
      histogram.recordValue(ratioPercent);
      if (histogram.getTotalCount() >= nextMedianUpdate) {
        median = histogram.getValueAtPercentile(50) / 100.0;
        nextMedianUpdate += Math.max(1, nextMedianUpdate / 32);
      }
    }
  }

  private final Policy policy;
  private final Map<String, ObservedRatios> ratiosByClass = new HashMap<>();
  private Map<String, Double> inheritedCorrections = Map.of();

  /** Creates estimates without observations. */
  public RunTimeEstimates(Policy policy) {
    this.policy = policy;
  }

  /**
   * Records an observed run time for the job's class. Runs without an owner's estimate are ignored.
   */
  public void recordRun(JobSpec spec, TimeSpan ran) {
    if (spec.estimate().ms() <= 0 || ran.ms() <= 0) {
      return;
    }
    ObservedRatios observed = ratiosByClass.get(spec.jobClass());
    if (observed == null) {
      if (ratiosByClass.size() >= MAX_CLASSES) {
        return;
      }
      observed = new ObservedRatios();
      ratiosByClass.put(spec.jobClass(), observed);
    }
    observed.recordRatio(
        Math.max(1, Math.min(MAX_RATIO_PERCENT, ran.ms() * 100 / spec.estimate().ms())));
  }

  private double correction(JobSpec spec) {
    ObservedRatios observed = ratiosByClass.get(spec.jobClass());
    return observed == null || !observed.hasEnoughSamples()
        ? inheritedCorrections.getOrDefault(spec.jobClass(), 1.0)
        : observed.median;
  }

  /**
   * Sets the corrections that earlier terms recorded. Each applies until enough runs of its class
   * are observed.
   */
  public void inheritCorrections(Map<String, Double> corrections) {
    inheritedCorrections = Map.copyOf(corrections);
  }

  /**
   * Returns the predicted run time of one task, following the paper's Algorithm 2. Only estimates
   * of tasks that checkpoint are scaled, and only from the threshold on. A task with a checkpoint
   * gets its remaining run time plus the time to save and restore.
   */
  public TimeSpan predict(Job job, int index) {
    JobSpec spec = job.spec;
    TimeSpan checkpointed = spec.checkpoints() ? job.checkpointedRunTime.get(index) : null;
    TimeSpan base =
        checkpointed == null
            ? ownerEstimate(spec).times(correction(spec))
            : spec.estimate()
                .times(correction(spec))
                .minus(checkpointed)
                .plus(spec.checkpointWrite().times(2));
    return base.longerThan(MIN_RUN_TIME) ? base : MIN_RUN_TIME;
  }

  /**
   * Returns the owner's estimate, scaled as in the paper but not corrected by the observed run
   * times of its class.
   */
  public TimeSpan ownerEstimate(JobSpec spec) {
    boolean scaled =
        spec.checkpoints() && spec.estimate().compareTo(policy.estimateScaleThreshold()) >= 0;
    return scaled ? spec.estimate().times(policy.estimateScaleFactor()) : spec.estimate();
  }

  /** Returns the median ratio of run time to estimate of each class with enough samples. */
  public Map<String, Double> corrections() {
    Map<String, Double> out = new HashMap<>();
    ratiosByClass.forEach(
        (jobClass, observed) -> {
          if (observed.hasEnoughSamples()) {
            out.put(jobClass, observed.median);
          }
        });
    return out;
  }

  /**
   * Returns the time the machine takes to fetch the job's image, or zero if the image is cached.
   */
  public TimeSpan fetchTime(Job job, Machine machine) {
    if (machine.cachedImages.contains(job.spec.image())) {
      return new TimeSpan(0);
    }
    return TimeSpan.seconds(job.spec.imageGb() / Math.max(0.01, machine.type().fetchGbPerS()));
  }

  /**
   * Returns the time at which a placed task is predicted to end. An overdue task is given another
   * quarter of the time it has run.
   */
  public MonotonicTime predictedEnd(TaskPlacement placement, MonotonicTime now) {
    if (placement.isStopping()) {
      MonotonicTime stop =
          placement.stopRequestedAt().plus(placement.grace()).plus(TimeSpan.seconds(2));
      return MonotonicTime.later(stop, now.plus(TimeSpan.millis(500)));
    }
    if (placement.job.spec.daemon()) {
      return MonotonicTime.NEVER;
    }
    TimeSpan run = predict(placement.job, placement.index);
    if (placement.runningSince() == null) {
      TimeSpan fetch =
          TimeSpan.seconds(
              placement.job.spec.imageGb()
                  / Math.max(0.01, placement.machine.type().fetchGbPerS()));
      return MonotonicTime.later(placement.launchedAt.plus(fetch), now).plus(run);
    }
    MonotonicTime due = placement.runningSince().plus(run);
    if (due.after(now)) {
      return due;
    }
    return now.plus(now.since(placement.runningSince()).times(0.25)).plus(MIN_RUN_TIME);
  }
}
