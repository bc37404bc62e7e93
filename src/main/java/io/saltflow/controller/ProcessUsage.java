package io.saltflow.controller;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.transport.EventLoop;

/** Samples the utilization of this process's event loop and heap. */
final class ProcessUsage {
  /** Number of samples whose minimum counts, as garbage raises heap usage between collections. */
  private static final int HEAP_SAMPLES = 15;

  private final EventLoop loop;
  private final double[] heapSamples = new double[HEAP_SAMPLES];
  private MonotonicTime sampledAt;
  private TimeSpan previousBusyTime;
  private int sampleCount;
  private double loopUtilization;

  ProcessUsage(EventLoop loop) {
    this.loop = loop;
    this.sampledAt = loop.now();
    this.previousBusyTime = loop.busyTime();
  }

  /** Takes a sample. Must be called at regular intervals. */
  void sample() {
    MonotonicTime now = loop.now();
    TimeSpan elapsed = now.since(sampledAt);
    TimeSpan busyTime = loop.busyTime().minus(previousBusyTime);
    if (elapsed.ms() > 0) {
      loopUtilization = Math.min(1, (double) busyTime.ms() / elapsed.ms());
    }
    sampledAt = now;
    previousBusyTime = loop.busyTime();
    Runtime runtime = Runtime.getRuntime();
    double usedBytes = runtime.totalMemory() - runtime.freeMemory();
    heapSamples[sampleCount++ % HEAP_SAMPLES] = usedBytes / runtime.maxMemory();
  }

  /** Returns the fraction of the last interval in which the loop was busy, from 0 to 1. */
  double loopUtilization() {
    return loopUtilization;
  }

  /** Returns the minimum heap usage of the last samples, from 0 to 1; 0 until there are enough. */
  double heapUtilization() {
    if (sampleCount < HEAP_SAMPLES) {
      return 0;
    }
    double lowest = 1;
    for (double sample : heapSamples) {
      lowest = Math.min(lowest, sample);
    }
    return lowest;
  }

  @Override
  public String toString() {
    return String.format(
        "event loop busy %.0f%%, heap %.0f%%", 100 * loopUtilization, 100 * heapUtilization());
  }
}
