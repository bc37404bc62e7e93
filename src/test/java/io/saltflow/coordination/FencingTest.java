package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What proves that a task is nowhere, and what does not. */
class FencingTest {
  /** Seen in an incident: such machines came back as ghosts and held their tasks for 10 s more. */
  @Test
  void aReportThatOutlivesItsMachineBringsResultsAndNothingElse() {
    Floor f = new Floor(POLICY, List.of());
    f.checkIn("vm-1");
    f.arrive(Jobs.job(1).tasks(2).cores(5).estimateS(60).build());
    f.checkIn("vm-1");
    f.work("vm-1", 4);
    f.ends("vm-1", Floor.task(1, 0), Report.ExitCause.DONE);
    Report heldBack = f.report("vm-1", Floor.TERM);
    f.leader.deleted(List.of(new MachineId("vm-1")), f.time());
    f.pass(1);
    assertNull(f.leader.onReport(heldBack, true, f.time()));
    assertTrue(f.leader.job(new JobId(Jobs.id(1))).done.get(0));
    f.checkIn("vm-2");
    List<Order> orders = f.checkIn("vm-2");
    assertEquals(List.of(Floor.task(1, 1)), orders.stream().map(Order::task).toList());
  }

  /**
   * It reports every few seconds with the token of before, and hears nobody. Each report counted as
   * a sign of life, so a takeover was never accounted for and nothing of before was started again.
   */
  @Test
  void aMachineThatDoesNotHearHoldsNoTakeoverUp() {
    Floor f = takenOver();
    f.checkIn("vm-1");
    long launched = 0;
    for (int s = 0; s < 90 && launched == 0; s += 5) {
      f.pass(5);
      f.leader.onReport(f.report("vm-2", new Term(6)), true, f.time());
      launched = launches(f.checkIn("vm-1"));
    }
    assertEquals(1, launched);
    assertTrue(f.now - 100_000 <= 65_000, "after " + (f.now - 100_000) + " ms");
  }

  /** Its launches go in vain, and with all its room it was given the same task again and again. */
  @Test
  void aMachineThatDoesNotHearIsGivenNothingMoreAndReturned() {
    Floor f = new Floor(POLICY, List.of());
    f.checkIn("vm-1");
    f.checkIn("vm-2");
    f.arrive(Jobs.job(1).tasks(2).cores(8).estimateS(60).build());
    f.checkIn("vm-2");
    int inVain = 0;
    List<MachineId> returned = List.of();
    for (int s = 0; s < 60 && returned.isEmpty(); s += 5) {
      f.pass(5);
      f.checkIn("vm-2");
      List<Order> lost = f.leader.onReport(f.report("vm-1", Floor.TERM), true, f.time());
      inVain += (int) launches(lost);
      returned = f.leader.toDelete(f.time());
    }
    assertTrue(inVain <= 3, inVain + " launches went in vain");
    assertEquals(List.of(new MachineId("vm-1")), returned);
  }

  /**
   * A machine was back at once, with session 1 again, between two leaders. A copy of its former
   * life comes later, of session 2 and with the token of before.
   */
  @Test
  void aCopyOfAFormerLifeDisprovesNothing() {
    Floor f = takenOver();
    f.checkIn("vm-1");
    f.leader.deleted(List.of(new MachineId("vm-2")), f.time());
    assertEquals(1, launches(f.checkIn("vm-1")));
    Report alive = f.report("vm-1", new Term(6));
    Report copy =
        new Report(alive.machine(), "", "box", "a", false, 2, 80, new Term(6), null, List.of());
    assertNull(f.leader.onReport(copy, true, f.time()));
    assertEquals(1, f.leader.job(new JobId(Jobs.id(1))).present.size());
    f.checkIn("vm-3");
    f.pass(1);
    assertEquals(0, launches(f.checkIn("vm-3")), "it is still where it was");
  }

  /** What reports show and a copy does not: that somebody can reach us. */
  @Test
  void copiesAreNoSignOfLife() {
    Floor f = new Floor(POLICY, List.of());
    Report one = f.report("vm-1", Floor.TERM);
    f.leader.onReport(one, true, f.time());
    f.checkIn("vm-2");
    for (int s = 0; s < 30; s++) {
      f.pass(1);
      assertNull(f.leader.onReport(one, true, f.time()));
    }
    assertTrue(f.leader.deaf(f.time()), "nobody was heard for half a minute");
  }

  private static final Policy POLICY = World.policy(Span.millis(World.LEASE));

  private static Floor takenOver() {
    return new Floor(
        POLICY, List.of(Floor.job(Jobs.job(1).cores(5).build(), true)), "vm-1", "vm-2");
  }

  private static long launches(List<Order> orders) {
    return orders.stream().filter(o -> o instanceof Order.Launch).count();
  }

  @Test
  void reportWithAnOlderTokenProvesNothing() {
    Floor f = takenOver();
    assertEquals(0, launches(f.leader.onReport(f.report("vm-1", new Term(6)), true, f.time())));
    assertEquals(0, launches(f.leader.onReport(f.report("vm-2", new Term(6)), true, f.time())));
    assertEquals(0, launches(f.checkIn("vm-1")), "vm-2 may still hold the task");
    assertEquals(1, launches(f.checkIn("vm-2")) + launches(f.checkIn("vm-1")));
  }

  @Test
  void silentMachineHoldsLaunchesUntilItsLeaseIsSurelyOver() {
    Floor f = takenOver();
    f.checkIn("vm-1");
    long ms = POLICY.keepAfterSync().plus(POLICY.leaseSurelyOver()).ms();
    f.pass((ms - 1000) / 1000.0);
    assertEquals(0, launches(f.checkIn("vm-1")));
    f.pass(2);
    assertEquals(1, launches(f.checkIn("vm-1")));
  }

  @Test
  void successfulDeleteIsProof() {
    Floor f = takenOver();
    f.checkIn("vm-1");
    f.leader.deleted(List.of(new MachineId("vm-2")), f.time());
    assertEquals(1, launches(f.checkIn("vm-1")));
  }

  @Test
  void jobThatNobodyCanHaveLaunchedNeedNotWait() {
    Floor f = takenOver();
    f.checkIn("vm-1");
    f.arrive(Jobs.job(2).cores(2).build());
    List<Order> orders = f.checkIn("vm-1");
    assertEquals(1, launches(orders));
    assertEquals(Floor.task(2, 0), orders.get(0).task());
  }

  /** The unheard machine may be full of the team's tasks: its limit may not be spent. */
  @Test
  void unheardMachinesCountAgainstTeamLimits() {
    Floor f =
        new Floor(
            POLICY,
            List.of(Floor.job(Jobs.job(1).build(), true)),
            "vm-1",
            "vm-2",
            "vm-3",
            "vm-4",
            "vm-5",
            "vm-6");
    f.checkIn("vm-1");
    f.arrive(Jobs.job(2).team("red").cores(2).build());
    assertEquals(0, launches(f.checkIn("vm-1")), "5 machines of 10 cores against a limit of 48");
    assertEquals(1, launches(f.checkIn("vm-2")) + launches(f.checkIn("vm-1")));
  }

  @Test
  void answerThatWasLostLeadsToANewAttempt() throws IOException {
    Floor f = new Floor(POLICY, List.of());
    f.checkIn("vm-1");
    f.arrive(Jobs.job(1).cores(5).build());
    Report r = f.report("vm-1", Floor.TERM);
    List<Order> lost = f.leader.onReport(r, true, f.time());
    f.say("an answer with " + lost.size() + " order is lost: attempt " + lost.get(0).attempt());
    f.pass(1);
    assertNull(f.leader.onReport(r, true, f.time()), "the same report again is not answered");
    f.say("the report comes once more and is not answered");
    f.pass(3);
    List<Order> again = f.checkIn("vm-1");
    f.say("attempt " + again.get(0).attempt());
    Traces.check("lost-answer", f.trace);
  }

  @Test
  void newSessionAndOverdueLeaseFreeTasks() {
    Floor f = new Floor(POLICY, List.of());
    f.checkIn("vm-1");
    f.checkIn("vm-2");
    f.arrive(Jobs.job(1).cores(5).tasks(1).build());
    String first = launches(f.checkIn("vm-1")) == 1 ? "vm-1" : "vm-2";
    if (first.equals("vm-2")) {
      f.checkIn("vm-2");
    }
    f.newSession(first);
    f.pass(1);
    assertEquals(1, launches(f.checkIn(first)), "a new session has nothing of the old one");
  }

  /** A report held back by a cut lists what was long ago: it must not hide where the task is. */
  @Test
  void lateReportDoesNotMoveATask() {
    Floor f = new Floor(POLICY, List.of());
    f.checkIn("vm-1");
    f.arrive(Jobs.job(1).cores(5).estimateS(500).build());
    f.checkIn("vm-1");
    f.pass(1);
    f.checkIn("vm-1");
    Report late = f.report("vm-1", Floor.TERM);
    f.pass(20);
    f.checkIn("vm-2");
    f.checkIn("vm-2");
    assertTrue(f.on.get("vm-2").containsKey(Floor.task(1, 0)), "its lease was over");
    List<Order> orders = f.leader.onReport(late, true, f.time());
    assertTrue(orders.get(0) instanceof Order.Halt);
    assertEquals("vm-2", f.leader.job(Floor.task(1, 0).job()).present.get(0).machine.id.text());
  }

  @Test
  void cancelledTaskIsHaltedWhereverItShowsUp() throws IOException {
    Floor f = new Floor(POLICY, List.of());
    f.checkIn("vm-1");
    f.arrive(Jobs.job(1).cores(5).estimateS(500).build());
    f.checkIn("vm-1");
    f.say("the user cancels it");
    f.leader.jobGone(Floor.task(1, 0).job(), f.time());
    f.pass(1);
    f.checkIn("vm-1");
    f.pass(1);
    f.checkIn("vm-1");
    f.pass(1);
    assertTrue(f.leader.jobs().isEmpty());
    Traces.check("cancelled", f.trace);
  }

  /**
   * It was out of reach from before the cancellation until after the takeover, and may be again
   * before its next report: the first answer renews its lease, so it has to say it.
   */
  @Test
  void theFirstAnswerOfANewLeaderStopsWhatIsOver() {
    Floor f = new Floor(POLICY, List.of());
    f.checkIn("vm-1");
    f.arrive(Jobs.job(1).cores(2).estimateS(500).build());
    f.arrive(Jobs.job(2).cores(2).estimateS(500).build());
    f.checkIn("vm-1");
    Job live = Floor.job(Jobs.job(2).cores(2).estimateS(500).build(), true);
    f.takeOver(POLICY, new Term(8), List.of(live), World.TYPE.size());
    List<Order> orders = f.leader.onReport(f.report("vm-1", Floor.TERM), true, f.time());
    assertEquals(List.of(Floor.task(1, 0)), orders.stream().map(Order::task).toList());
    assertTrue(orders.get(0) instanceof Order.Halt);
  }

  /** A leader that has not read the machine types yet once returned the whole fleet. */
  @Test
  void nothingIsReturnedBeforeTheTypesAreKnown() {
    Leader leader =
        new Leader(
            POLICY,
            Floor.TERM,
            List.of(),
            List.of(new Leader.LedgerEntry(new MachineId("vm-1"), "box", "a", false)),
            true,
            List.of(),
            new Time(1000),
            1000);
    leader.tick(new Time(1200));
    assertTrue(leader.toDelete(new Time(1200)).isEmpty());
  }

  /** An entry of the ledger that can't be read may be a machine with tasks: absence is no proof. */
  @Test
  void whatTheLedgerLacksIsWaitedOut() {
    Job job = Floor.job(Jobs.job(1).build(), true);
    Leader leader =
        new Leader(
            POLICY,
            Floor.TERM,
            List.of(job),
            List.of(),
            false,
            List.of(World.TYPE),
            new Time(0),
            0);
    long bound = POLICY.keepAfterSync().plus(POLICY.leaseSurelyOver()).ms();
    for (long now = 1000; now < bound + 2000; now += 1000) {
      Report r =
          new Report(
              new MachineId("vm-1"), "", "box", "a", false, 1, now, Floor.TERM, null, List.of());
      List<Order> orders = leader.onReport(r, true, new Time(now));
      leader.ledgered(leader.toLedger());
      leader.tick(new Time(now));
      assertTrue(now > bound || orders.isEmpty(), "launched at " + now);
    }
    assertEquals(1, job.present.size());
  }
}
