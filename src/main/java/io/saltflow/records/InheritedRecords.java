package io.saltflow.records;

import io.saltflow.cluster.Job;
import io.saltflow.leader.LedgerEntry;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.protocol.InvalidMessageException;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Machines, job progress and plans that earlier leaders recorded. An entry that cannot be read is
 * never treated as absent.
 */
public final class InheritedRecords {
  private static final Logger LOG = LoggerFactory.getLogger(InheritedRecords.class);

  private final Map<MachineId, LedgerEntry> machines = new LinkedHashMap<>();

  /**
   * Progress by job and page. A job that was being moved to another page is on both pages, and
   * either may hold the newer progress.
   */
  private final Map<JobId, Map<String, String>> progressByJob = new HashMap<>();

  private PlanRepository.InheritedPlans plans;
  private boolean ledgerComplete = true;
  private boolean progressComplete = true;

  void addMachine(LedgerEntry machine) {
    machines.put(machine.id(), machine);
  }

  /** Records that an entry of the machine ledger could not be read. */
  void markLedgerIncomplete() {
    ledgerComplete = false;
  }

  void addProgress(JobId id, String page, String doneTasks) {
    progressByJob.computeIfAbsent(id, key -> new LinkedHashMap<>()).put(page, doneTasks);
  }

  /** Records that an entry of the job progress could not be read. */
  void markProgressIncomplete() {
    progressComplete = false;
  }

  void setPlans(PlanRepository.InheritedPlans inherited) {
    plans = inherited;
  }

  /** Returns the keys of the pages that hold the progress of a job. */
  Set<String> progressPages(JobId id) {
    return progressByJob.getOrDefault(id, Map.of()).keySet();
  }

  /** Returns the machines of the ledger in the order in which they were read. */
  public List<LedgerEntry> machines() {
    return List.copyOf(machines.values());
  }

  /** Returns the plans that earlier leaders recorded. */
  public PlanRepository.InheritedPlans plans() {
    return plans;
  }

  /** Returns whether every machine of the ledger could be read. */
  public boolean ledgerComplete() {
    return ledgerComplete;
  }

  /** Returns whether an earlier leader may have launched tasks of a job. */
  public boolean maybeStarted(LiveJobRecord jobRecord) {
    return !progressComplete
        || jobRecord.maybeStarted()
        || progressByJob.containsKey(jobRecord.spec().id());
  }

  /** Creates a job from its record and its recorded progress. */
  public Job job(LiveJobRecord jobRecord) {
    JobId id = jobRecord.spec().id();
    BitSet done = new BitSet();
    for (String text : progressByJob.getOrDefault(id, Map.of()).values()) {
      try {
        done.or(DoneTasksCodec.decode(text, jobRecord.spec().tasks()));
      } catch (InvalidMessageException exception) {
        LOG.error(
            "cannot read progress of job {}: {}; ignoring the entry", id, exception.getMessage());
      }
    }
    Job job = new Job(jobRecord.spec(), jobRecord.arrivedWallMs(), done, maybeStarted(jobRecord));
    job.queueState().setOrderKey(jobRecord.lane(), jobRecord.position());
    // After an unreadable page, the job may have running tasks that must be looked for. That does
    // not prove that its dependencies were met, so it must not allow further launches.
    return job.dependenciesMet(progressByJob.containsKey(id));
  }
}
