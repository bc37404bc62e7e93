package io.saltflow.coordination;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Span;
import org.junit.jupiter.api.Test;

/** A leader that lost its office without knowing acts on until it learns of it. */
class SupersededLeaderTest {
  private static final int SPARE = 99;

  private static World running(long seed) {
    World w = new World(seed, World.policy(Span.millis(World.LEASE)));
    w.submit(Jobs.job(1).tasks(2).cores(8).estimateS(60).build());
    w.submit(Jobs.job(SPARE).tasks(2).cores(8).estimateS(600).build());
    w.run(40);
    return w;
  }

  private static World.Worker runs(World w, int job) {
    return w.workers.values().stream()
        .filter(m -> m.tasks.keySet().stream().anyMatch(t -> t.job().equals(id(job))))
        .findFirst()
        .orElseThrow();
  }

  private static JobId id(int number) {
    return new JobId(Jobs.id(number));
  }

  /**
   * A machine is out of reach for nearly a lease. Just before that is over the office is taken from
   * a leader that is well, and the machine is answered by the successor. The leader that does not
   * know counts on, and the end of the lease that it knows of proves nothing.
   */
  @Test
  void aLeaseThatASuccessorRenewedIsNotOver() {
    for (int silent = 24; silent <= 30; silent++) {
      for (int phase = 0; phase < 12; phase++) {
        World w = running(phase);
        w.run(phase * 0.5);
        // It can't be returned as silent.
        w.cloudDownUntil = w.now + 60_000;
        runs(w, 1).cutUntil = w.now + silent * World.STEP;
        w.run((silent - 1) * 0.5 - 4);
        w.cancel(id(SPARE));
        w.run(4);
        w.supersede(8000);
        w.run(20);
        WorldAssert.assertServed(w, "silent " + silent + ", phase " + phase);
      }
    }
  }
}
