package io.saltflow.leader;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Single leader with a few machines whose heartbeats a test sends explicitly. */
public final class LeaderHarness {
  static final Term TERM = new Term(7);
  private static final MachineType MACHINE_TYPE = machineType(new Resources(10, 0, 100));

  final List<String> trace = new ArrayList<>();
  final Map<String, Map<TaskId, WorkerHeartbeat.TaskStatus>> tasksByMachine = new LinkedHashMap<>();
  private final Map<String, Long> sequence = new LinkedHashMap<>();
  private final Map<String, Long> epoch = new LinkedHashMap<>();
  public LeaderCore leader;

  /** Remaining time of machines that the cloud has announced to reclaim, by machine. */
  final Map<String, TimeSpan> reclaimNotices = new LinkedHashMap<>();

  private Term term = TERM;

  public long now = 100_000;

  /**
   * Creates a newly elected leader.
   *
   * @param jobs jobs inherited from the previous leader
   * @param oldMachines machines in the previous leader's ledger
   */
  public LeaderHarness(Policy policy, List<Job> jobs, String... oldMachines) {
    List<LedgerEntry> ledger = new ArrayList<>();
    for (String machine : oldMachines) {
      ledger.add(ledgerEntry(machine));
    }
    leader =
        new LeaderCore(
            policy,
            TERM,
            new InheritedState(jobs, ledger, true, List.of(MACHINE_TYPE)),
            time(),
            now);
  }

  static MachineType machineType(Resources size) {
    return new MachineType("box", size, 1, 1, 0.5, TimeSpan.seconds(15), List.of("a", "b"));
  }

  /** Replaces the leader by one with the given term; machines and their tasks remain. */
  void failOver(Policy policy, Term newTerm, List<Job> jobs, Resources machineSize) {
    List<LedgerEntry> ledger = new ArrayList<>();
    tasksByMachine.keySet().forEach(machine -> ledger.add(ledgerEntry(machine)));
    term = newTerm;
    leader =
        new LeaderCore(
            policy,
            newTerm,
            new InheritedState(jobs, ledger, true, List.of(machineType(machineSize))),
            time(),
            now);
  }

  private static LedgerEntry ledgerEntry(String machine) {
    return new LedgerEntry(new MachineId(machine), "box", "a", false);
  }

  /** Returns a job without progress. */
  public static Job job(JobSpec spec, boolean maybeStarted) {
    return new Job(spec, 0, new BitSet(), maybeStarted);
  }

  /** Returns the current virtual time. */
  public MonotonicTime time() {
    return new MonotonicTime(now);
  }

  /** Advances the virtual time, then ticks the leader once. */
  public void advance(double seconds) {
    now += Math.round(seconds * 1000);
    leader.tick(time());
  }

  /** Advances the time while the machine sends a heartbeat every two seconds. */
  public void advanceWithHeartbeats(String machine, int seconds) {
    for (int i = 0; i < seconds; i += 2) {
      advance(2);
      sendHeartbeat(machine);
    }
  }

  void log(String event) {
    trace.add(String.format("%6.1f  %s", (now - 100_000) / 1000.0, event));
  }

  /** Submits a job and records at once that its tasks may be started. */
  public void submit(JobSpec spec) {
    leader.jobs().onAdded(spec, now, false);
    for (Job job : leader.jobs().toMarkStarted()) {
      leader.jobs().onProgressRecorded(job, new java.util.BitSet());
    }
    log(
        spec.id()
            + " arrives: "
            + spec.tasks()
            + " of "
            + (int) spec.size().cores()
            + " cores, estimated "
            + (int) spec.estimate().toSeconds()
            + " s, "
            + spec.priority());
  }

  /** Marks a running task as exited; the next heartbeat of the machine reports it. */
  public void exitTask(String machine, TaskId task, WorkerHeartbeat.ExitCause cause) {
    WorkerHeartbeat.TaskStatus running = tasksByMachine.get(machine).get(task);
    tasksByMachine
        .get(machine)
        .put(
            task,
            new WorkerHeartbeat.TaskStatus(
                task, running.attempt(), WorkerHeartbeat.TaskState.EXITED, cause, true));
    log(task + " on " + machine + " exits: " + cause);
  }

  void restartWorker(String machine) {
    epoch.merge(machine, 1L, Long::sum);
    tasksByMachine.put(machine, new LinkedHashMap<>());
  }

  WorkerHeartbeat heartbeat(String machine, Term fencingToken) {
    Map<TaskId, WorkerHeartbeat.TaskStatus> tasks =
        tasksByMachine.computeIfAbsent(machine, key -> new LinkedHashMap<>());
    long nextSequence = sequence.merge(machine, 1L, Long::sum);
    return new WorkerHeartbeat(
        new MachineId(machine),
        "",
        "box",
        machine.endsWith("b") ? "b" : "a",
        machine.endsWith("s"),
        epoch.getOrDefault(machine, 1L),
        nextSequence,
        fencingToken,
        reclaimNotices.get(machine),
        new ArrayList<>(tasks.values()));
  }

  /** Sends a heartbeat and executes the commands; launched tasks run by the next heartbeat. */
  public List<WorkerCommand> sendHeartbeat(String machine) {
    WorkerHeartbeat heartbeat = heartbeat(machine, term);
    List<WorkerCommand> commands = leader.onHeartbeat(heartbeat, true, time());
    leader.machines().onRecorded(leader.machines().toRecord());
    execute(machine, commands);
    return commands;
  }

  void execute(String machine, List<WorkerCommand> commands) {
    Map<TaskId, WorkerHeartbeat.TaskStatus> tasks = tasksByMachine.get(machine);
    for (WorkerCommand command : commands) {
      if (command instanceof WorkerCommand.Launch) {
        tasks.put(
            command.task(),
            new WorkerHeartbeat.TaskStatus(
                command.task(),
                command.attempt(),
                WorkerHeartbeat.TaskState.RUNNING,
                WorkerHeartbeat.ExitCause.OTHER,
                false));
        log(machine + " launches " + command.task());
      } else if (command instanceof WorkerCommand.Stop stop) {
        tasks.put(
            command.task(),
            new WorkerHeartbeat.TaskStatus(
                command.task(),
                command.attempt(),
                WorkerHeartbeat.TaskState.EXITED,
                WorkerHeartbeat.ExitCause.STOPPED,
                stop.grace().ms() > 0));
        log(
            machine
                + " stops "
                + command.task()
                + " with "
                + stop.grace().toSeconds()
                + " s to save");
      } else {
        tasks.remove(command.task());
      }
    }
  }

  /** Returns the id of a task of the job with this number. */
  public static TaskId task(int job, int index) {
    return TaskId.parse(JobSpecBuilder.id(job) + "/" + index);
  }
}
