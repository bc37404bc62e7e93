package io.saltflow.api;

import static io.saltflow.api.UserApiSimulation.Kind.CANCEL;
import static io.saltflow.api.UserApiSimulation.Kind.POLL;
import static io.saltflow.api.UserApiSimulation.Kind.SUBMIT;
import static io.saltflow.api.UserApiSimulation.Kind.SUBMIT_INVALID;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.api.UserApiSimulation.Action;
import io.saltflow.api.UserApiSimulation.Faults;
import io.saltflow.api.UserApiSimulation.Kind;
import io.saltflow.api.UserApiSimulation.Scenario;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Guards against contradictory responses from several nodes while jobs are accepted, completed or
 * cancelled and answers of the key-value store are delayed or lost. Small scenarios are checked in
 * every order of events, larger ones in seeded random orders.
 */
class UserApiConsistencyTest {
  private static final int MAX_ORDERS = 10_000;

  /** Write rate at which no write is throttled. */
  private static final double UNLIMITED_WRITES = 1e6;

  private static final long SEEDS = Long.getLong("answers.seeds", 150);

  /** Enumerates all sequences of choices depth first. */
  private static final class ExhaustiveChoices implements IntUnaryOperator {
    private final List<int[]> choices = new ArrayList<>();
    private int position;

    @Override
    public int applyAsInt(int options) {
      if (position == choices.size()) {
        choices.add(new int[] {0, options});
      }
      int[] choice = choices.get(position++);
      if (choice[1] != options) {
        throw new IllegalStateException("the same choices led to a different number of options");
      }
      return choice[0];
    }

    /** Advances to the next sequence; returns whether there is one. */
    boolean next() {
      position = 0;
      while (!choices.isEmpty()) {
        int[] last = choices.get(choices.size() - 1);
        if (++last[0] < last[1]) {
          return true;
        }
        choices.remove(choices.size() - 1);
      }
      return false;
    }
  }

  private static Action action(Kind kind, int node) {
    return new Action(kind, 0, node);
  }

  /** Checks the scenario in every order of events, of which there must be a minimum number. */
  private static void checkAllOrders(Scenario scenario, String name, int minimumOrders) {
    ExhaustiveChoices order = new ExhaustiveChoices();
    int count = 0;
    do {
      assertNull(UserApiSimulation.simulate(scenario, order), name);
      assertTrue(++count <= MAX_ORDERS, name + ": too many orders");
    } while (order.next());
    assertTrue(count >= minimumOrders, name + ": " + count + " orders");
  }

  private static void checkSeeds(Scenario scenario, String name) {
    for (long seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      String fault = UserApiSimulation.simulate(scenario, random::nextInt);
      assertNull(fault, name + ", seed " + seed);
    }
  }

  /** Returns a scenario with one job that is already accepted, on two nodes. */
  private static Scenario acceptedJob(
      List<List<Action>> userScripts,
      Set<Integer> completedJobs,
      int lostAnswers,
      int delayedRequests,
      int earlyTicks) {
    return new Scenario(
        2,
        userScripts,
        1,
        completedJobs,
        new Faults(lostAnswers, delayedRequests, 0, earlyTicks),
        UNLIMITED_WRITES);
  }

  /** Returns a scenario with one job that is not submitted yet, on two nodes. */
  private static Scenario newJob(
      List<List<Action>> userScripts, int lostAnswers, int delayedRequests, int earlyTicks) {
    return new Scenario(
        2,
        userScripts,
        0,
        Set.of(),
        new Faults(lostAnswers, delayedRequests, 0, earlyTicks),
        UNLIMITED_WRITES);
  }

  /** Guards against nodes that report different final states. */
  @Test
  void cancellationRacingCompletionLeavesOneFinalState() {
    Set<Integer> completedJobs = Set.of(0);
    List<Action> cancellation = List.of(action(CANCEL, 1), action(POLL, 0));
    checkAllOrders(acceptedJob(List.of(cancellation), completedJobs, 0, 0, 1), "completion", 3000);
    checkAllOrders(
        acceptedJob(
            List.of(List.of(action(CANCEL, 1)), List.of(action(SUBMIT, 0))), Set.of(), 0, 0, 0),
        "repeated submission",
        100);
    checkSeeds(
        acceptedJob(
            List.of(cancellation, List.of(action(POLL, 1), action(POLL, 1))),
            completedJobs,
            0,
            0,
            2),
        "completion and polls");
    checkSeeds(
        acceptedJob(List.of(cancellation, List.of(action(CANCEL, 0))), completedJobs, 0, 0, 2),
        "two cancellations");
    List<Action> again = List.of(action(SUBMIT, 0), action(CANCEL, 2), action(POLL, 1));
    List<Action> polls =
        List.of(action(POLL, 1), action(POLL, 0), action(POLL, 1), action(POLL, 2));
    List<Action> invalid =
        List.of(action(POLL, 1), action(POLL, 1), action(POLL, 0), action(SUBMIT_INVALID, 2));
    checkSeeds(
        new Scenario(
            3,
            List.of(cancellation, again, polls, invalid),
            1,
            completedJobs,
            new Faults(0, 0, 0, 4),
            UNLIMITED_WRITES),
        "concurrent requests at three nodes");
  }

  /**
   * Guards against different final states if an answer is lost or a request runs after its timeout.
   */
  @Test
  void cancellationRacingCompletionLeavesOneFinalStateDespiteLostAnswer() {
    List<List<Action>> userScripts = List.of(List.of(action(CANCEL, 1), action(POLL, 0)));
    checkAllOrders(acceptedJob(userScripts, Set.of(0), 1, 0, 0), "completion, lost answer", 400);
    checkAllOrders(
        acceptedJob(userScripts, Set.of(0), 0, 1, 0), "completion, delayed request", 1000);
    checkAllOrders(acceptedJob(userScripts, Set.of(), 1, 0, 1), "cancellation, lost answer", 50);
    checkAllOrders(
        acceptedJob(userScripts, Set.of(), 0, 1, 1), "cancellation, delayed request", 100);
    List<List<Action>> more =
        List.of(
            userScripts.get(0),
            List.of(action(POLL, 1), action(SUBMIT, 0)),
            List.of(action(CANCEL, 0)));
    checkSeeds(
        acceptedJob(more, Set.of(0), 2, 2, 4), "completion, lost answers and delayed requests");
  }

  /** Guards against contradictory responses if the store refuses requests during a cancellation. */
  @Test
  void cancellationStaysConsistentWhileStoreRefusesRequests() {
    List<List<Action>> userScripts =
        List.of(List.of(action(CANCEL, 1), action(POLL, 0), action(POLL, 1)));
    Faults one = new Faults(0, 0, 1, 0);
    checkAllOrders(
        new Scenario(2, userScripts, 1, Set.of(0), one, UNLIMITED_WRITES),
        "completion, one refusal",
        400);
    List<List<Action>> more =
        List.of(
            List.of(action(CANCEL, 1), action(POLL, 0), action(CANCEL, 2)),
            List.of(action(POLL, 1), action(SUBMIT, 0), action(POLL, 2)),
            List.of(action(CANCEL, 0), action(SUBMIT_INVALID, 1)));
    Faults often = new Faults(1, 1, 5, 4);
    checkSeeds(
        new Scenario(3, more, 1, Set.of(0), often, UNLIMITED_WRITES),
        "completion, repeated refusals");
    checkSeeds(new Scenario(3, more, 1, Set.of(), often, UNLIMITED_WRITES), "repeated refusals");
  }

  /** Guards against denying an acceptance whose answer was lost. */
  @Test
  void acceptanceStaysConsistentWhenItsAnswerIsLost() {
    List<Action> one = List.of(action(SUBMIT, 0), action(POLL, 1), action(SUBMIT_INVALID, 1));
    checkSeeds(newJob(List.of(one, List.of(action(POLL, 1))), 0, 0, 2), "concurrent polls");
    checkAllOrders(newJob(List.of(one), 1, 0, 1), "lost answer", 30);
    checkAllOrders(newJob(List.of(one), 0, 1, 1), "delayed request", 70);
    checkSeeds(
        newJob(List.of(one, List.of(action(SUBMIT, 1))), 1, 1, 12), "repeated while in flight");
    List<List<Action>> two = List.of(List.of(action(SUBMIT, 0)), List.of(action(SUBMIT, 1)));
    checkAllOrders(newJob(two, 1, 1, 0), "two nodes, lost answer and delayed request", 1000);
    List<Action> cancellation =
        List.of(action(SUBMIT, 0), action(POLL, 1), action(CANCEL, 2), action(SUBMIT, 1));
    List<Action> repeats =
        List.of(action(SUBMIT, 1), action(POLL, 2), action(POLL, 0), action(SUBMIT_INVALID, 0));
    List<Action> polls =
        List.of(action(POLL, 0), action(POLL, 2), action(POLL, 1), action(POLL, 0));
    checkSeeds(
        new Scenario(
            3,
            List.of(cancellation, repeats, polls),
            0,
            Set.of(),
            new Faults(2, 2, 0, 4),
            UNLIMITED_WRITES),
        "concurrent requests");
  }

  @Test
  void jobCanBeCancelledBeforeItsAcceptanceIsAnswered() {
    List<List<Action>> userScripts =
        List.of(List.of(action(SUBMIT, 0)), List.of(action(CANCEL, 0)));
    checkAllOrders(newJob(userScripts, 0, 0, 0), "one node", 40);
  }

  private static Action action(Kind kind, int job, int node) {
    return new Action(kind, job, node);
  }

  /**
   * Guards against contradictory responses while submission batches are unpacked and their jobs are
   * polled, cancelled and submitted again.
   */
  @Test
  void responsesStayConsistentWhileBatchesAreUnpacked() {
    List<List<Action>> userScripts = new ArrayList<>();
    for (int job = 0; job < 5; job++) {
      userScripts.add(
          List.of(
              action(SUBMIT, job, job == 4 ? 1 : 0),
              action(POLL, job, 1),
              action(job % 2 == 0 ? CANCEL : SUBMIT, job, job % 2),
              action(POLL, job, 0),
              action(SUBMIT_INVALID, job, 1)));
    }
    userScripts.add(
        List.of(
            action(SUBMIT, 1, 0), action(POLL, 1, 0), action(SUBMIT, 2, 0), action(POLL, 2, 1)));
    checkSeeds(new Scenario(2, userScripts, 0, Set.of(), new Faults(0, 0, 0, 6), 2), "batches");
    checkSeeds(
        new Scenario(2, userScripts, 0, Set.of(), new Faults(2, 1, 1, 6), 2),
        "batches, lost answers and delayed requests");
  }

  /**
   * Guards against stale responses when the polls of many unknown jobs are answered by one listing.
   */
  @Test
  void pollsOfManyUnknownJobsStayConsistent() {
    List<List<Action>> userScripts = new ArrayList<>();
    for (int job = 0; job < 10; job++) {
      userScripts.add(List.of(action(POLL, job, 1), action(POLL, job, 1)));
    }
    userScripts.add(List.of(action(CANCEL, 3, 0), action(POLL, 3, 1), action(POLL, 3, 0)));
    userScripts.add(List.of(action(CANCEL, 4, 1), action(POLL, 4, 0), action(POLL, 4, 1)));
    userScripts.add(List.of(action(SUBMIT, 10, 0), action(POLL, 10, 1), action(POLL, 10, 0)));
    userScripts.add(List.of(action(POLL, 5, 1), action(POLL, 5, 0), action(POLL, 5, 1)));
    checkSeeds(
        new Scenario(
            2, userScripts, 10, Set.of(3, 4, 5), new Faults(0, 0, 0, 12), UNLIMITED_WRITES),
        "many polls");
    checkSeeds(
        new Scenario(
            2, userScripts, 10, Set.of(3, 4, 5), new Faults(1, 1, 1, 12), UNLIMITED_WRITES),
        "many polls, lost answers and delayed requests");
  }
}
