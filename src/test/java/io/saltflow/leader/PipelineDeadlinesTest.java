package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.model.JobId;
import io.saltflow.model.Priority;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.Test;

/**
 * Compares how many job chains with a deadline on their last job are in time with inherited
 * deadlines and priorities, without them, and under the best order of the chains, found by
 * exhaustive search. The cluster has three machines for one task each and is loaded beforehand.
 */
class PipelineDeadlinesTest {
  private static final int MACHINES = 3;
  private static final int CHAINS = 6;
  private static final int STEPS = 3;
  private static final int COMPETING_JOBS = 12;
  private static final int SEEDS = 20;

  /** Chains that must be in time, of {@code SEEDS * CHAINS}. */
  private static final int MIN_IN_TIME = 64;

  /** Time to fetch the image of a step. */
  private static final double FETCH_SECONDS = 1;

  /** Overhead per step, including the wait for a heartbeat, of which one is sent every 3 s. */
  private static final double STEP_OVERHEAD_SECONDS = FETCH_SECONDS + 2;

  private static final double WARM_UP_SECONDS = 40;

  /**
   * A chain of jobs.
   *
   * @param runS run times of the steps, in seconds
   * @param dueS deadline in seconds after the submission
   */
  private record Chain(List<Double> runS, double dueS) {}

  private static List<Chain> chains(long seed) {
    UniformRandomProvider random = new SplitMix64(seed);
    List<Chain> chains = new ArrayList<>();
    for (int c = 0; c < CHAINS; c++) {
      List<Double> runS = new ArrayList<>();
      double totalS = 0;
      for (int index = 0; index < STEPS; index++) {
        runS.add(5.0 + random.nextInt(16));
        totalS += runS.get(index);
      }
      chains.add(new Chain(runS, totalS * (1.2 + 1.2 * random.nextDouble())));
    }
    return chains;
  }

  /** Returns the most chains in time under any order of precedence, without competing load. */
  private static int maxChainsInTime(List<Chain> chains) {
    return maxChainsInTime(chains, new ArrayList<>(), new boolean[CHAINS]);
  }

  private static int maxChainsInTime(List<Chain> chains, List<Chain> order, boolean[] used) {
    if (order.size() == CHAINS) {
      return inTime(order);
    }
    int maxInTime = 0;
    for (int c = 0; c < CHAINS; c++) {
      if (!used[c]) {
        used[c] = true;
        order.add(chains.get(c));
        maxInTime = Math.max(maxInTime, maxChainsInTime(chains, order, used));
        order.remove(order.size() - 1);
        used[c] = false;
      }
    }
    return maxInTime;
  }

  /**
   * Returns how many chains are in time in this order of precedence, where a step starts as soon as
   * its predecessor is done and a machine is free.
   */
  private static int inTime(List<Chain> order) {
    return inTime(order, FETCH_SECONDS);
  }

  private static int inTime(List<Chain> order, double overheadS) {
    double[] freeAt = new double[MACHINES];
    int[] step = new int[CHAINS];
    double[] readyAt = new double[CHAINS];
    int countInTime = 0;
    for (int left = CHAINS * STEPS; left > 0; left--) {
      int machine = 0;
      for (int candidate = 1; candidate < MACHINES; candidate++) {
        machine = freeAt[candidate] < freeAt[machine] ? candidate : machine;
      }
      int next = -1;
      for (int c = 0; c < CHAINS; c++) {
        boolean unfinished = step[c] < STEPS;
        boolean sooner =
            next < 0
                || Math.max(readyAt[c], freeAt[machine]) < Math.max(readyAt[next], freeAt[machine]);
        next = unfinished && sooner ? c : next;
      }
      double runS = order.get(next).runS.get(step[next]++) + overheadS;
      readyAt[next] = Math.max(readyAt[next], freeAt[machine]) + runS;
      freeAt[machine] = readyAt[next];
      countInTime += step[next] == STEPS && readyAt[next] <= order.get(next).dueS ? 1 : 0;
    }
    return countInTime;
  }

  /**
   * Returns how many chains are in time on the simulated cluster.
   *
   * @param inherit whether the steps inherit the last job's priority and deadline
   */
  private static int simulate(long seed, List<Chain> chains, boolean inherit) {
    PipelineSimulation pipeline = new PipelineSimulation(seed);
    pipeline.simulation.maxMachines = MACHINES;
    int number = 0;
    for (int i = 0; i < COMPETING_JOBS; i++) {
      pipeline.submit(JobSpecBuilder.job(number++).cores(8).estimateS(20));
    }
    pipeline.run(WARM_UP_SECONDS);
    List<JobId> last = new ArrayList<>();
    for (Chain chain : chains) {
      JobId previous = null;
      for (int stepIndex = 0; stepIndex < STEPS; stepIndex++) {
        JobSpecBuilder step =
            JobSpecBuilder.job(number++).cores(8).estimateS(chain.runS.get(stepIndex));
        step.priority(inherit ? Priority.LOW : Priority.NORMAL);
        if (inherit && stepIndex == STEPS - 1) {
          step.priority(Priority.HIGH).deadlineS(chain.dueS);
        }
        previous = previous == null ? pipeline.submit(step) : pipeline.submit(step, previous);
      }
      last.add(previous);
    }
    pipeline.runUntilAllJobsEnd(1500);
    int countInTime = 0;
    for (int chainIndex = 0; chainIndex < CHAINS; chainIndex++) {
      ClusterSimulation.JobRecord end = pipeline.record(last.get(chainIndex));
      countInTime += end.doneAt - end.submittedAt <= 1000 * chains.get(chainIndex).dueS ? 1 : 0;
    }
    return countInTime;
  }

  @Test
  void inheritedDeadlinesPutMoreChainsInTime() {
    int inBestOrder = 0;
    int asSubmitted = 0;
    int withOverhead = 0;
    int inherited = 0;
    int notInherited = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      List<Chain> chains = chains(seed);
      inBestOrder += maxChainsInTime(chains);
      asSubmitted += inTime(chains);
      withOverhead += inTime(chains, STEP_OVERHEAD_SECONDS);
      inherited += simulate(seed, chains, true);
      notInherited += simulate(seed, chains, false);
    }
    System.out.println(
        String.format(
            "chains in time of %d: best order %d, in order of submission %d, %d with step overhead,"
                + " inherited deadlines %d, no deadlines %d",
            SEEDS * CHAINS, inBestOrder, asSubmitted, withOverhead, inherited, notInherited));
    assertTrue(
        inherited <= inBestOrder,
        inherited + " chains in time exceed the upper bound of " + inBestOrder);
    assertTrue(inherited > MIN_IN_TIME && notInherited < inherited / 4);
  }
}
