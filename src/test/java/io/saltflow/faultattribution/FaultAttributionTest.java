package io.saltflow.faultattribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.faultattribution.FaultAttribution.Finding;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the attribution of task failures to defective jobs and faulty machines. */
class FaultAttributionTest {
  private final FaultAttribution faultAttribution = new FaultAttribution(2);

  private static JobId job(int number) {
    return new JobId(String.format("req-%06d", number));
  }

  private static MachineId machine(int number) {
    return new MachineId("vm-" + number);
  }

  @Test
  void defectiveJobOnManyMachinesMakesNoMachineFaulty() {
    List<Finding> findings = new ArrayList<>();
    // Four failures on each of ten machines, in machine order.
    for (int i = 0; i < 40; i++) {
      findings.addAll(faultAttribution.recordFailure(job(1), machine(i / 4)));
    }
    assertEquals(List.of(new Finding.DefectiveJob(job(1), 3)), findings);
    for (int i = 0; i < 10; i++) {
      assertEquals(
          0,
          faultAttribution.failureWeight(machine(i)),
          "failures of a defective job do not count");
    }
    assertEquals(
        List.of(new Finding.ClearedJob(job(1))),
        faultAttribution.recordSuccess(job(1), machine(11)),
        "cleared by a success");
    assertFalse(faultAttribution.isDefective(job(1)));
  }

  @Test
  void machineIsFaultyAfterFailuresOfTwoJobsOrOfJobSucceedingElsewhere() {
    assertEquals(List.of(), faultAttribution.recordFailure(job(1), machine(1)));
    assertEquals(
        List.of(),
        faultAttribution.recordFailure(job(1), machine(1)),
        "failures of one job count once");
    assertEquals(
        List.of(new Finding.FaultyMachine(machine(1))),
        faultAttribution.recordFailure(job(2), machine(1)),
        "failure of a second job");
    faultAttribution.recordFailure(job(3), machine(2));
    faultAttribution.recordFailure(job(3), machine(2));
    assertEquals(
        List.of(new Finding.FaultyMachine(machine(2))),
        faultAttribution.recordSuccess(job(3), machine(3)),
        "the job succeeds elsewhere, so both failures count");
  }

  /** Guards against a faulty machine that is hidden by failures of a defective job. */
  @Test
  void faultyMachineIsFoundAmongDefectiveJobs() {
    for (int machineNumber = 5; machineNumber < 8; machineNumber++) {
      faultAttribution.recordFailure(job(1), machine(machineNumber));
    }
    assertTrue(faultAttribution.isDefective(job(1)));
    assertEquals(
        List.of(),
        faultAttribution.recordFailure(job(1), machine(9)),
        "failure of a defective job does not count");
    assertEquals(List.of(), faultAttribution.recordFailure(job(2), machine(9)));
    assertEquals(
        List.of(new Finding.FaultyMachine(machine(9))),
        faultAttribution.recordFailure(job(3), machine(9)));
  }

  /** Guards against blaming a job for failures on machines that are later found faulty. */
  @Test
  void jobThatRanOnlyOnFaultyMachinesIsCleared() {
    for (int machineNumber = 1; machineNumber <= 3; machineNumber++) {
      faultAttribution.recordFailure(job(1), machine(machineNumber));
    }
    assertTrue(faultAttribution.isDefective(job(1)));
    // Another job shows that the machine is faulty, so failures on it do not count against the job.
    faultAttribution.recordSuccess(job(2), machine(4));
    faultAttribution.recordFailure(job(2), machine(1));
    assertEquals(
        List.of(new Finding.FaultyMachine(machine(1)), new Finding.ClearedJob(job(1))),
        faultAttribution.recordFailure(job(2), machine(1)));
  }

  /**
   * Tests random orders of failures and successes of healthy and defective jobs on healthy and
   * faulty machines. Defective jobs and tasks on faulty machines never succeed.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void onlyDefectiveJobsAndFaultyMachinesAreFound(long seed) {
    UniformRandomProvider random = new SplitMix64(seed);
    Set<MachineId> faulty = new HashSet<>();
    Set<JobId> defective = new HashSet<>();
    for (int step = 0; step < 20_000; step++) {
      // One in 25 jobs and one in 25 machines is defective. A job's tasks are close in order.
      JobId job = job(step / 40 + random.nextInt(8));
      int machineNumber = random.nextInt(100);
      boolean defectiveJobTask = Integer.parseInt(job.text().substring(4)) % 25 == 3;
      if (faulty.contains(machine(machineNumber)) || defective.contains(job)) {
        continue;
      }
      List<Finding> findings =
          defectiveJobTask || machineNumber % 25 == 7
              ? faultAttribution.recordFailure(job, machine(machineNumber))
              : faultAttribution.recordSuccess(job, machine(machineNumber));
      for (Finding finding : findings) {
        if (finding instanceof Finding.FaultyMachine faultyMachine) {
          faulty.add(faultyMachine.machine());
        } else if (finding instanceof Finding.DefectiveJob defectiveJob) {
          defective.add(defectiveJob.job());
        } else if (finding instanceof Finding.ClearedJob clearedJob) {
          defective.remove(clearedJob.job());
        }
      }
    }
    assertEquals(Set.of(machine(7), machine(32), machine(57), machine(82)), faulty);
    assertEquals(21, defective.size(), "one in 25 of jobs 0 to 506");
    assertTrue(
        defective.stream().allMatch(jobId -> jobId.text().matches("req-0*\\d*(03|28|53|78)")));
  }
}
