package io.saltflow.faultattribution;

import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Attributes task failures to defective jobs, which fail on every machine, or to faulty machines,
 * on which every job fails. A single failure is not conclusive. A job is evaluated by the machines
 * on which it failed, excluding faulty ones, and a machine by the jobs that failed on it, excluding
 * defective ones.
 *
 * <p>Memory is bounded by the known jobs and machines: a job keeps a bounded number of machines,
 * and a machine keeps the jobs that failed on it since its last success.
 */
public final class FaultAttribution {
  /** Number of non-faulty machines on which a job without a success fails to count as defective. */
  private static final int DEFECTIVE_JOB_THRESHOLD = 3;

  private static final int MAX_MACHINES_PER_JOB = 16;

  /** Conclusion from a success or a failure about a job or a machine. */
  public sealed interface Finding {
    /** Tasks of several jobs fail on the machine. */
    record FaultyMachine(MachineId machine) implements Finding {}

    /**
     * The job fails on every machine.
     *
     * @param machines number of machines on which it has failed
     */
    record DefectiveJob(JobId job, int machines) implements Finding {}

    /** The job was considered defective, but is not. */
    record ClearedJob(JobId job) implements Finding {}
  }

  private static final class JobHistory {
    final Set<MachineId> failedOn = new HashSet<>();
    boolean succeeded;
    boolean defective;
  }

  private final int faultyThreshold;
  private final Map<JobId, JobHistory> jobs = new HashMap<>();

  /** Failures per job on each machine since a task last succeeded there. */
  private final Map<MachineId, Map<JobId, Integer>> failuresByMachine = new HashMap<>();

  private final Set<MachineId> faultyMachines = new HashSet<>();

  /**
   * Creates an attribution without history.
   *
   * @param faultyThreshold number of failures not caused by their jobs that make a machine faulty
   */
  public FaultAttribution(int faultyThreshold) {
    this.faultyThreshold = faultyThreshold;
  }

  /** Returns whether the job is considered defective. */
  public boolean isDefective(JobId job) {
    JobHistory history = jobs.get(job);
    return history != null && history.defective;
  }

  /** Records that a task of the job failed on the machine. */
  public List<Finding> recordFailure(JobId job, MachineId machine) {
    JobHistory history = jobs.computeIfAbsent(job, jobId -> new JobHistory());
    if (history.defective) {
      return List.of();
    }
    if (history.failedOn.size() < MAX_MACHINES_PER_JOB) {
      history.failedOn.add(machine);
    }
    failuresByMachine
        .computeIfAbsent(machine, machineId -> new LinkedHashMap<>())
        .merge(job, 1, Integer::sum);
    List<Finding> findings = new ArrayList<>();
    evaluate(machine, findings);
    evaluate(job, history, findings);
    return findings;
  }

  /**
   * Records that a task of the job succeeded.
   *
   * @param machine the machine of the task, or {@code null} if it is deleted or unknown
   */
  public List<Finding> recordSuccess(JobId job, MachineId machine) {
    List<Finding> findings = new ArrayList<>();
    if (machine != null) {
      failuresByMachine.remove(machine);
    }
    JobHistory history = jobs.computeIfAbsent(job, jobId -> new JobHistory());
    boolean first = !history.succeeded;
    history.succeeded = true;
    if (history.defective) {
      history.defective = false;
      history.failedOn.clear();
      findings.add(new Finding.ClearedJob(job));
    }
    if (first) {
      // Its earlier failures were not caused by the job, so they count against the machines.
      for (MachineId machineId : List.copyOf(history.failedOn)) {
        evaluate(machineId, findings);
      }
    }
    return findings;
  }

  /** Removes an ended job and its failures. */
  public void removeJob(JobId job) {
    JobHistory history = jobs.remove(job);
    if (history != null) {
      discountFailures(job, history);
    }
  }

  /** Stops counting the failures of the job against machines. */
  private void discountFailures(JobId job, JobHistory history) {
    for (MachineId machineId : history.failedOn) {
      Map<JobId, Integer> failuresByJob = failuresByMachine.get(machineId);
      if (failuresByJob != null) {
        failuresByJob.remove(job);
      }
    }
  }

  /** Removes a deleted machine. Failures on it still count against their jobs. */
  public void removeMachine(MachineId machine) {
    failuresByMachine.remove(machine);
    faultyMachines.remove(machine);
  }

  /** Returns how many failures since the last success on the machine count against it. */
  public int failureWeight(MachineId machine) {
    int weight = 0;
    for (Map.Entry<JobId, Integer> entry :
        failuresByMachine.getOrDefault(machine, Map.of()).entrySet()) {
      JobHistory history = jobs.get(entry.getKey());
      if (history == null) {
        continue;
      }
      if (history.succeeded) {
        weight += entry.getValue();
      } else if (history.failedOn.size() == 1) {
        // The job has failed only on this machine, so all of its failures count as one.
        weight++;
      }
    }
    return weight;
  }

  private void evaluate(MachineId machine, List<Finding> findings) {
    if (!faultyMachines.contains(machine) && failureWeight(machine) >= faultyThreshold) {
      faultyMachines.add(machine);
      findings.add(new Finding.FaultyMachine(machine));
      // Failures on a faulty machine do not count against jobs. Faulty machines are rare, so a scan
      // of all jobs is cheaper than an index of the jobs that failed on each machine.
      jobs.forEach(
          (job, history) -> {
            boolean counted = history.failedOn.remove(machine);
            if (counted && history.defective && history.failedOn.size() < DEFECTIVE_JOB_THRESHOLD) {
              history.defective = false;
              findings.add(new Finding.ClearedJob(job));
            }
          });
    }
  }

  private void evaluate(JobId job, JobHistory history, List<Finding> findings) {
    if (!history.succeeded
        && !history.defective
        && history.failedOn.size() >= DEFECTIVE_JOB_THRESHOLD) {
      history.defective = true;
      // This is permanent: even if the job is cleared later, it caused these failures.
      discountFailures(job, history);
      findings.add(new Finding.DefectiveJob(job, history.failedOn.size()));
    }
  }
}
