package io.saltflow.coordination;

import io.saltflow.protocol.Time;
import java.util.Collection;

/** Where the rented core time went: the figure that tells why the price is what it is. */
final class Usage {
  private double booting;
  private double idle;
  private double empty;
  private double fetching;
  private double running;
  private double saving;
  private double lostRun;
  private Time last;

  void sample(Collection<Machine> machines, Time now) {
    double s = last == null ? 0 : now.since(last).toSeconds();
    last = now;
    for (Machine m : machines) {
      if (m.type == null) {
        continue;
      }
      double cores = m.type.size().cores() * s;
      if (!m.up) {
        booting += cores;
        continue;
      }
      double rest = cores;
      for (Presence p : m.presences.values()) {
        double c = p.job.spec.size().cores() * s;
        rest -= c;
        switch (p.state) {
          case RUNNING -> running += c;
          case SAVING -> saving += c;
          default -> fetching += c;
        }
      }
      idle += Math.max(0, rest);
      empty += m.presences.isEmpty() ? cores : 0;
    }
  }

  void lost(Presence p, double seconds) {
    lostRun += p.job.spec.size().cores() * seconds;
  }

  String summary() {
    double all = Math.max(1e-9, booting + idle + fetching + running + saving);
    return String.format(
        "of rented cores %.0f%% ran (%.0f%% in vain), %.0f%% fetched, %.0f%% saved, %.0f%% idled"
            + " (%.0f%% on empty machines), %.0f%% booted",
        100 * running / all,
        100 * lostRun / all,
        100 * fetching / all,
        100 * saving / all,
        100 * idle / all,
        100 * empty / all,
        100 * booting / all);
  }
}
