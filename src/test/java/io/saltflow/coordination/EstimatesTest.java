package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.saltflow.protocol.Attempt;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What a class is predicted to take, as its tasks end. */
class EstimatesTest {
  private static final Policy POLICY =
      Policies.of(Span.seconds(16), Span.seconds(20), 1800, new Policy.Team("blue", 0, 0, 0, 0));

  private final Estimates estimates = new Estimates(POLICY);
  private final TaskOutcomes outcomes =
      new TaskOutcomes(POLICY, Map.of(), estimates, new Usage(), new Account());
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
