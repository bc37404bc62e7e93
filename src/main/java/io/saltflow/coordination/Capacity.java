package io.saltflow.coordination;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;

/**
 * How many machines this leader can serve, judged by what serving the present ones costs it. Its
 * processor and its memory grow with the machines that report to it; its connections do not (they
 * are shared out in turn), nor do its changes of the state service, which grow with jobs. A fleet
 * beyond that does less work, not more: reports wait until their workers give up, which looks like
 * machines that hang.
 */
final class Capacity {
  /** Smoothed over so many looks, a second each: longer than a takeover's first rush. */
  private static final double SMOOTH = 10;

  /** From here on no machine is rented. */
  private static final double FULL = 0.9;

  /** Below this there is room again: renting does not come and go with each look. */
  private static final double ROOM = 0.75;

  /** A leader that has hardly begun is busy too; so few machines are never what it is busy with. */
  private static final int FEW = 100;

  /**
   * What one second took.
   *
   * @param busy the part of it that the one thread was at work, 0 to 1
   * @param heap the part of the heap that is held by what lives, 0 to 1
   * @param turnedAway connections that were closed for want of sockets
   */
  record Load(double busy, double heap, int turnedAway) {}

  /** After so many looks in a row with hardly a pause reports wait for longer than workers do. */
  private static final int LOOKS_AT_WORK = 2;

  private static final Span STRAIN_LASTS = Span.seconds(2);

  private static final double ALWAYS = 0.9;

  private double busy;
  private double heap;
  private int looksAtWork;
  private int most = Integer.MAX_VALUE;
  private Time strained = Time.LONG_AGO;

  void look(Load load, int machines, Time now) {
    busy += (load.busy - busy) / SMOOTH;
    heap += (load.heap - heap) / SMOOTH;
    looksAtWork = load.busy < ALWAYS ? 0 : looksAtWork + 1;
    if (load.turnedAway > 0 || looksAtWork >= LOOKS_AT_WORK) {
      strained = now;
    }
    double worse = Math.max(busy, heap);
    if (worse > FULL) {
      most = Math.min(most, Math.max(machines, FEW));
    } else if (worse < ROOM) {
      most = Integer.MAX_VALUE;
    }
  }

  /** So many machines may be rented in all. */
  int most() {
    return most;
  }

  boolean full() {
    return most < Integer.MAX_VALUE;
  }

  /** Until now nobody could be heard. */
  void deaf(Time now) {
    strained = now;
  }

  /** Until when machines may have reported in vain, for this leader's sake. */
  Time deafUntil() {
    return strained;
  }

  /** Whether that is so now. */
  boolean hardOfHearing(Time now) {
    return now.since(strained).compareTo(STRAIN_LASTS) < 0;
  }

  /** What it is that has run out, in words. */
  String what() {
    return busy >= heap
        ? String.format("its processor is at work %.0f%% of the time", 100 * busy)
        : String.format("%.0f%% of its memory is held", 100 * heap);
  }
}
