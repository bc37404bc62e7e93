package io.saltflow.faultattribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.faultattribution.Evidence.Finding;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MachineId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whose fault a failure is. */
class EvidenceTest {
  private final Evidence evidence = new Evidence(2);

  private static JobId job(int n) {
    return new JobId(String.format("req-%06d", n));
  }

  private static MachineId machine(int n) {
    return new MachineId("vm-" + n);
  }

  @Test
  void aWideJobWithAMistakeSpoilsNoMachine() {
    List<Finding> all = new ArrayList<>();
    // Four tasks on each of ten machines, reported machine by machine.
    for (int i = 0; i < 40; i++) {
      all.addAll(evidence.failed(job(1), machine(i / 4)));
    }
    assertEquals(List.of(new Finding.Mistaken(job(1), 3)), all);
    for (int i = 0; i < 10; i++) {
      assertEquals(0, evidence.weight(machine(i)), "nothing is held against it");
    }
    assertEquals(
        List.of(new Finding.Cleared(job(1))), evidence.succeeded(job(1), machine(11)), "mended");
    assertFalse(evidence.mistaken(job(1)));
  }

  @Test
  void aMachineIsFoundByTwoJobsOrByOneThatWorksElsewhere() {
    assertEquals(List.of(), evidence.failed(job(1), machine(1)));
    assertEquals(List.of(), evidence.failed(job(1), machine(1)), "the same job says it once");
    assertEquals(
        List.of(new Finding.Faulty(machine(1))), evidence.failed(job(2), machine(1)), "another");
    evidence.failed(job(3), machine(2));
    evidence.failed(job(3), machine(2));
    assertEquals(
        List.of(new Finding.Faulty(machine(2))),
        evidence.succeeded(job(3), machine(3)),
        "its tasks work, so those two were the machine's");
  }

  /** A machine that fails everything is found though it is given tasks of a broken job as well. */
  @Test
  void amongBrokenJobsAFaultyMachineIsStillFound() {
    for (int m = 5; m < 8; m++) {
      evidence.failed(job(1), machine(m));
    }
    assertTrue(evidence.mistaken(job(1)));
    assertEquals(List.of(), evidence.failed(job(1), machine(9)), "says nothing of it");
    assertEquals(List.of(), evidence.failed(job(2), machine(9)));
    assertEquals(List.of(new Finding.Faulty(machine(9))), evidence.failed(job(3), machine(9)));
  }

  /** Three machines that fail everything make a job look mistaken until they are found. */
  @Test
  void aJobThatMetOnlyFaultyMachinesIsCleared() {
    for (int m = 1; m <= 3; m++) {
      evidence.failed(job(1), machine(m));
    }
    assertTrue(evidence.mistaken(job(1)));
    // A faulty machine is found by others' jobs, and its word against the first counts no more.
    evidence.succeeded(job(2), machine(4));
    evidence.failed(job(2), machine(1));
    assertEquals(
        List.of(new Finding.Faulty(machine(1)), new Finding.Cleared(job(1))),
        evidence.failed(job(2), machine(1)));
  }

  /**
   * Fleets of sound and faulty machines, jobs of which some are broken: none that is sound is
   * blamed, each that is not is found, whatever the order. A success on a faulty machine and one of
   * a broken job never happen.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void theSoundAreNotBlamedAndTheOthersAreFound(long seed) {
    UniformRandomProvider random = new SplitMix64(seed);
    Set<MachineId> faulty = new HashSet<>();
    Set<JobId> mistaken = new HashSet<>();
    for (int step = 0; step < 20_000; step++) {
      // One job in 25 is broken, as is one machine in 25; a job's tasks come together.
      JobId job = job(step / 40 + random.nextInt(8));
      int m = random.nextInt(100);
      boolean brokenJob = Integer.parseInt(job.text().substring(4)) % 25 == 3;
      if (faulty.contains(machine(m)) || mistaken.contains(job)) {
        continue;
      }
      List<Finding> found =
          brokenJob || m % 25 == 7
              ? evidence.failed(job, machine(m))
              : evidence.succeeded(job, machine(m));
      for (Finding f : found) {
        if (f instanceof Finding.Faulty x) {
          faulty.add(x.machine());
        } else if (f instanceof Finding.Mistaken x) {
          mistaken.add(x.job());
        } else if (f instanceof Finding.Cleared x) {
          mistaken.remove(x.job());
        }
      }
    }
    assertEquals(Set.of(machine(7), machine(32), machine(57), machine(82)), faulty);
    assertEquals(21, mistaken.size(), "one in 25 of those from 0 to 506");
    assertTrue(mistaken.stream().allMatch(j -> j.text().matches("req-0*\\d*(03|28|53|78)")));
  }
}
