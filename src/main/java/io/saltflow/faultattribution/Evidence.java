package io.saltflow.faultattribution;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MachineId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whose fault it is that tasks fail: their job's, which was submitted with a mistake and fails
 * wherever it is started, or their machine's, which fails whatever it is given. One failure says
 * neither. A job is judged by the machines that it failed on, a machine by the jobs that failed on
 * it, and each only by those of the other kind that are not in doubt themselves.
 *
 * <p>Memory is bounded by the jobs and machines that are known: a job remembers so many machines,
 * and a machine the jobs that failed on it since its last success.
 */
public final class Evidence {
  /** On so many machines that are not faulty a job must have failed, and nowhere succeeded. */
  private static final int MACHINES_FOR_A_MISTAKE = 3;

  private static final int MOST_MACHINES = 16;

  /** What a success or a failure shows of others. */
  public sealed interface Finding {
    /** The machine fails what it is given. */
    record Faulty(MachineId machine) implements Finding {}

    /** The job fails wherever it is started. */
    record Mistaken(JobId job, int machines) implements Finding {}

    /** The job was taken for mistaken, and is not. */
    record Cleared(JobId job) implements Finding {}
  }

  private static final class Case {
    final Set<MachineId> failedOn = new HashSet<>();
    boolean succeeded;
    boolean mistaken;
  }

  private final int faultyAfter;
  private final Map<JobId, Case> jobs = new HashMap<>();

  /** Of each machine, the failures of each job since a task last succeeded there. */
  private final Map<MachineId, Map<JobId, Integer>> machines = new HashMap<>();

  private final Set<MachineId> faulty = new HashSet<>();

  /**
   * @param faultyAfter so many failures that are not their jobs' fault make a machine faulty
   */
  public Evidence(int faultyAfter) {
    this.faultyAfter = faultyAfter;
  }

  public boolean mistaken(JobId job) {
    Case c = jobs.get(job);
    return c != null && c.mistaken;
  }

  /** A task of the job failed there. */
  public List<Finding> failed(JobId job, MachineId machine) {
    Case c = jobs.computeIfAbsent(job, j -> new Case());
    if (c.mistaken) {
      return List.of();
    }
    if (c.failedOn.size() < MOST_MACHINES) {
      c.failedOn.add(machine);
    }
    machines.computeIfAbsent(machine, m -> new LinkedHashMap<>()).merge(job, 1, Integer::sum);
    List<Finding> out = new ArrayList<>();
    judge(machine, out);
    judge(job, c, out);
    return out;
  }

  /**
   * A task of the job succeeded.
   *
   * @param machine where; null: on one that is gone
   */
  public List<Finding> succeeded(JobId job, MachineId machine) {
    List<Finding> out = new ArrayList<>();
    if (machine != null) {
      machines.remove(machine);
    }
    Case c = jobs.computeIfAbsent(job, j -> new Case());
    boolean first = !c.succeeded;
    c.succeeded = true;
    if (c.mistaken) {
      c.mistaken = false;
      c.failedOn.clear();
      out.add(new Finding.Cleared(job));
    }
    if (first) {
      // Where it failed before, it was not the job's fault.
      for (MachineId m : List.copyOf(c.failedOn)) {
        judge(m, out);
      }
    }
    return out;
  }

  /** The job is over. What failed of it says no more. */
  public void over(JobId job) {
    Case c = jobs.remove(job);
    if (c != null) {
      acquit(job, c);
    }
  }

  /** What failed of the job is held against no machine any more. */
  private void acquit(JobId job, Case c) {
    for (MachineId m : c.failedOn) {
      Map<JobId, Integer> there = machines.get(m);
      if (there != null) {
        there.remove(job);
      }
    }
  }

  /** The machine is gone. What it failed still says something of its jobs, unless it was faulty. */
  public void gone(MachineId machine) {
    machines.remove(machine);
    faulty.remove(machine);
  }

  /** How many failures since the last success there speak against the machine. */
  public int weight(MachineId machine) {
    int weight = 0;
    for (Map.Entry<JobId, Integer> e : machines.getOrDefault(machine, Map.of()).entrySet()) {
      Case c = jobs.get(e.getKey());
      if (c == null) {
        continue;
      }
      if (c.succeeded) {
        weight += e.getValue();
      } else if (c.failedOn.size() == 1) {
        // It failed here alone so far: all of its tasks are one piece of evidence.
        weight++;
      }
    }
    return weight;
  }

  private void judge(MachineId machine, List<Finding> out) {
    if (!faulty.contains(machine) && weight(machine) >= faultyAfter) {
      faulty.add(machine);
      out.add(new Finding.Faulty(machine));
      // Its word against a job counts no more. Faulty machines are few: looking at all jobs is
      // cheaper than knowing at each failure whom it may concern.
      jobs.forEach(
          (job, c) -> {
            boolean said = c.failedOn.remove(machine);
            if (said && c.mistaken && c.failedOn.size() < MACHINES_FOR_A_MISTAKE) {
              c.mistaken = false;
              out.add(new Finding.Cleared(job));
            }
          });
    }
  }

  private void judge(JobId job, Case c, List<Finding> out) {
    if (!c.succeeded && !c.mistaken && c.failedOn.size() >= MACHINES_FOR_A_MISTAKE) {
      c.mistaken = true;
      // For good: when it is mended later, those failures were its own all the same.
      acquit(job, c);
      out.add(new Finding.Mistaken(job, c.failedOn.size()));
    }
  }
}
