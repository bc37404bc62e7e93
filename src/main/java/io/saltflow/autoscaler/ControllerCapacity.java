package io.saltflow.autoscaler;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;

/**
 * Limits the number of machines by the CPU and heap that this controller uses as leader. Both grow
 * with the number of machines that send heartbeats, unlike connections, which are shared in turn,
 * and writes, which grow with jobs. A larger cluster would do less work, not more: heartbeats would
 * time out and healthy machines would appear to hang.
 */
public final class ControllerCapacity {
  /**
   * Number of one-second samples over which load is averaged; longer than the peak of a failover.
   */
  private static final double SMOOTHING_SAMPLES = 10;

  /** Utilization above which no machines are created. */
  private static final double FULL_THRESHOLD = 0.9;

  /** Utilization below which machines are created again; the gap provides hysteresis. */
  private static final double RECOVERED_THRESHOLD = 0.75;

  /** Lower bound of the limit, as the load of process startup is not caused by machines. */
  private static final int MIN_MACHINE_LIMIT = 100;

  /**
   * Load of the controller during one second.
   *
   * @param busy the fraction of the second during which the event loop was busy, 0 to 1
   * @param heap the fraction of the heap that is occupied by live objects, 0 to 1
   * @param rejectedConnections the number of connections that were closed for lack of sockets
   */
  public record Load(double busy, double heap, int rejectedConnections) {}

  /** Consecutive saturated samples after which heartbeats wait longer than workers' timeouts. */
  private static final int SATURATED_SAMPLES_THRESHOLD = 2;

  private static final TimeSpan OVERLOAD_HOLD_TIME = TimeSpan.seconds(2);

  private static final double SATURATED_BUSY_SHARE = 0.9;

  private double busy;
  private double heap;
  private int saturatedSamples;
  private int maxMachines = Integer.MAX_VALUE;
  private MonotonicTime overloadedAt = MonotonicTime.LONG_AGO;

  /** Records the load of the last second and updates the limit. */
  public void onLoadSample(Load load, int machines, MonotonicTime now) {
    busy += (load.busy - busy) / SMOOTHING_SAMPLES;
    heap += (load.heap - heap) / SMOOTHING_SAMPLES;
    saturatedSamples = load.busy < SATURATED_BUSY_SHARE ? 0 : saturatedSamples + 1;
    if (load.rejectedConnections > 0 || saturatedSamples >= SATURATED_SAMPLES_THRESHOLD) {
      overloadedAt = now;
    }
    double utilization = Math.max(busy, heap);
    if (utilization > FULL_THRESHOLD) {
      maxMachines = Math.min(maxMachines, Math.max(machines, MIN_MACHINE_LIMIT));
    } else if (utilization < RECOVERED_THRESHOLD) {
      maxMachines = Integer.MAX_VALUE;
    }
  }

  /** Returns the maximum total number of machines, {@link Integer#MAX_VALUE} if not limited. */
  public int maxMachines() {
    return maxMachines;
  }

  /** Returns whether the number of machines is limited at present. */
  public boolean isFull() {
    return maxMachines < Integer.MAX_VALUE;
  }

  /** Records that the process was paused until now and could not read heartbeats. */
  public void onProcessResumed(MonotonicTime now) {
    overloadedAt = now;
  }

  /** Returns the time until which heartbeats may have been lost because of this controller. */
  public MonotonicTime heartbeatLossUntil() {
    return overloadedAt;
  }

  /** Returns whether heartbeats may be lost now because of this controller. */
  public boolean isOverloaded(MonotonicTime now) {
    return now.since(overloadedAt).compareTo(OVERLOAD_HOLD_TIME) < 0;
  }

  /** Returns a description of the most used resource, for the log. */
  public String mostUsedResource() {
    return busy >= heap
        ? String.format("CPU is %.0f%% busy", 100 * busy)
        : String.format("heap is %.0f%% full", 100 * heap);
  }
}
