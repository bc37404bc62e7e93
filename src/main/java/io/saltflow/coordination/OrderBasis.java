package io.saltflow.coordination;

import io.saltflow.lanes.Basis;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.Map;
import java.util.Set;

/**
 * What the order rests on beside the jobs' records: learnt here, and used only as it is recorded,
 * so that a successor's first round has the order of the last one before it. Until anything is
 * recorded, at a site's very first start, it is used as it is learnt.
 */
final class OrderBasis {
  /** So far apart are two writes: at most a tenth of a change a second. */
  private static final Span PAUSE = Span.seconds(10);

  private Basis recorded;
  private Basis learnt = Basis.NONE;
  private boolean known;
  private boolean writing;
  private Time wrote = Time.LONG_AGO;

  /** As a former leader recorded it; null: none did. */
  void inherit(Basis former) {
    recorded = former;
  }

  /** What jobs are put in order by now. */
  Basis now() {
    return recorded == null ? learnt : recorded;
  }

  /** While nothing is recorded the fleet is measured before each round. */
  void fleet(double cores, Map<String, Double> corrections) {
    if (recorded == null) {
      learnt = new Basis(Math.max(1, cores), corrections, learnt.soonest());
    }
  }

  /** After a round. A leader that has not heard all machines knows less than what is recorded. */
  void learnt(
      double cores, Map<String, Double> corrections, Set<String> soonest, boolean accounted) {
    if (accounted) {
      learnt = now().toward(cores, corrections, soonest);
      known = true;
    }
  }

  /** What is to be written now, or null. */
  Basis toRecord(Time now) {
    if (!known || writing || learnt.equals(recorded) || PAUSE.longerThan(now.since(wrote))) {
      return null;
    }
    writing = true;
    wrote = now;
    return learnt;
  }

  /** It was written, or perhaps not: then it is written again before long. */
  void written(Basis basis, boolean ok) {
    writing = false;
    if (ok) {
      recorded = basis;
    }
  }
}
