package io.saltflow.app;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.transport.Loop;

/** What of its processor and memory this process uses, from one look to the next. */
final class Gauge {
  /** Garbage makes what is in use rise between collections: what lives is the least of so many. */
  private static final int LOOKS = 15;

  private final Loop loop;
  private final double[] used = new double[LOOKS];
  private Time last;
  private Span worked;
  private int looks;
  private double busy;

  Gauge(Loop loop) {
    this.loop = loop;
    this.last = loop.now();
    this.worked = loop.worked();
  }

  void look() {
    Time now = loop.now();
    Span all = now.since(last);
    Span work = loop.worked().minus(worked);
    if (all.ms() > 0) {
      busy = Math.min(1, (double) work.ms() / all.ms());
    }
    last = now;
    worked = loop.worked();
    Runtime runtime = Runtime.getRuntime();
    double held = runtime.totalMemory() - runtime.freeMemory();
    used[looks++ % LOOKS] = held / runtime.maxMemory();
  }

  /** The part of the last interval that the loop was at work, 0 to 1. */
  double busy() {
    return busy;
  }

  /** The part of the heap that was in use at the best of the last looks, 0 to 1. */
  double heap() {
    if (looks < LOOKS) {
      return 0;
    }
    double least = 1;
    for (double part : used) {
      least = Math.min(least, part);
    }
    return least;
  }

  @Override
  public String toString() {
    return String.format("at work %.0f%% of the time, heap %.0f%%", 100 * busy, 100 * heap());
  }
}
