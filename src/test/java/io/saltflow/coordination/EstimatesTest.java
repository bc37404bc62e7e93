package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.Attempt;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a class is predicted to take, as its tasks end. */
class EstimatesTest {
  private static final Policy POLICY =
      Policies.of(Span.seconds(16), Span.seconds(20), 1800, new Policy.Team("blue", 0, 0, 0, 0));

  private final Estimates estimates = new Estimates(POLICY);
  private final TaskOutcomes outcomes =
      new TaskOutcomes(POLICY, estimates, new Usage(), new Account());
  private final Machine machine =
      new Machine(new MachineId("vm-1"), null, "box", "a", true, Time.LONG_AGO);
  private final Job job = Floor.job(Jobs.job(1).tasks(200).estimateS(60).build(), true);

  private Presence running(int index, double since) {
    Presence p =
        new Presence(
            job,
            index,
            Attempt.of(new Term(7), index + 1),
            machine,
            at(since),
            1,
            1,
            Presence.State.RUNNING);
    p.runningSince = at(since);
    return p;
  }

  private static Time at(double seconds) {
    return new Time(Math.round(seconds * 1000));
  }

  private double predictedS() {
    return estimates.predict(job, 199).toSeconds();
  }

  /** Six images were remembered whatever the cache holds, and thirty are in use on one site. */
  @Test
  void aMachineIsKnownToHoldWhatItsCacheHolds() {
    MachineType type =
        new MachineType("box", new Size(8, 0, 32), 1, 50, 1, 0.5, Span.seconds(15), List.of("a"));
    Machine m = new Machine(new MachineId("vm-2"), type, "box", "a", true, at(0));
    for (int i = 0; i < 25; i++) {
      m.remember("image-" + i, 2);
    }
    assertTrue(m.has("image-0"));
    m.remember("image-0", 2);
    m.remember("image-25", 2);
    assertTrue(m.has("image-0"), "used again");
    assertFalse(m.has("image-1"), "dropped for the last one");
    assertTrue(m.has("image-2"));
  }

  @Test
  void tasksThatWereFoundRunningSayNothing() {
    for (int i = 0; i < 50; i++) {
      Presence p = running(i, 100);
      p.found = true;
      outcomes.done(job, i, p, at(102));
    }
    assertEquals(60, predictedS(), 0.1);
  }

  @Test
  void aClassThatTakesLongerThanItsOwnersSayIsPredictedSo() {
    for (int i = 0; i < 50; i++) {
      outcomes.done(job, i, running(i, 100), at(190));
    }
    assertEquals(90, predictedS(), 1);
  }
}
