package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.autoscaler.ScaleOutRequest;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.model.Attempt;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.Test;

/**
 * Tests the cost of scheduling with a thousand machines and a hundred jobs. Cost is counted in
 * machines examined rather than in time, so that the result does not depend on the host.
 */
class LargeClusterTest {
  private static final MachineType MACHINE_TYPE =
      new MachineType(
          "box", new Resources(8, 0, 32), 1, 0.4, 0.1, TimeSpan.seconds(15), List.of("a", "b"));
  private static final int MACHINES = 1000;
  private static final int JOBS = 100;

  /** Returns a policy with a fraction of a core for the leader, which spaces out full rounds. */
  private static Policy policy() {
    Policy policy =
        TestPolicies.of(
            TimeSpan.seconds(26),
            TimeSpan.seconds(15),
            1800,
            new Policy.TeamQuota("red", 0, 2000, 0, 0),
            new Policy.TeamQuota("blue", 0, 0, 0, 0));
    return TestPolicies.withCpuShare(policy, 0.4);
  }

  private record Due(long at, int machine) {}

  private final LeaderCore leader =
      new LeaderCore(
          policy(),
          new Term(3),
          InheritedState.empty(List.of(MACHINE_TYPE)),
          new MonotonicTime(0),
          0);
  private final UniformRandomProvider random = new SplitMix64(11);
  private final List<Map<TaskId, Long>> endTimes = new ArrayList<>();
  private final Map<TaskId, Integer> machineByTask = new HashMap<>();
  private final Map<TaskId, Long> attempts = new HashMap<>();
  private final Set<TaskId> done = new HashSet<>();
  private final long[] sequences = new long[MACHINES];
  private int heartbeats;
  private double redCores;

  private WorkerHeartbeat heartbeat(int machine, long now) {
    List<WorkerHeartbeat.TaskStatus> statuses = new ArrayList<>();
    endTimes
        .get(machine)
        .forEach(
            (id, end) ->
                statuses.add(
                    new WorkerHeartbeat.TaskStatus(
                        id,
                        new Attempt(attempts.get(id)),
                        end <= now
                            ? WorkerHeartbeat.TaskState.EXITED
                            : WorkerHeartbeat.TaskState.RUNNING,
                        WorkerHeartbeat.ExitCause.DONE,
                        false)));
    return new WorkerHeartbeat(
        new MachineId("vm-" + machine),
        "",
        "box",
        machine % 2 == 0 ? "a" : "b",
        true,
        1,
        ++sequences[machine],
        new Term(3),
        null,
        statuses);
  }

  private static boolean isRed(TaskId id) {
    return Integer.parseInt(id.job().text().substring(4)) % 5 == 0;
  }

  private void execute(int machine, WorkerCommand command, long now) {
    TaskId id = command.task();
    if (command instanceof WorkerCommand.Launch) {
      assertTrue(done.contains(id) || !machineByTask.containsKey(id), id + " was launched twice");
      machineByTask.put(id, machine);
      attempts.put(id, command.attempt().number());
      endTimes.get(machine).put(id, now + 10_000 + random.nextInt(50_000));
      redCores += isRed(id) ? 2 : 0;
      assertTrue(redCores <= 2000, "the limit of team red is exceeded");
      long runningTasks = endTimes.get(machine).values().stream().filter(end -> end > now).count();
      assertTrue(runningTasks <= 4, "the machine has more tasks than fit");
    } else {
      endTimes.get(machine).remove(id);
    }
  }

  @Test
  void workPerHeartbeatIsBounded() {
    int tasks = 0;
    for (int j = 1; j <= JOBS; j++) {
      int taskCount = 20 + random.nextInt(j % 10 == 0 ? 580 : 120);
      tasks += taskCount;
      Priority priority = j % 3 == 0 ? Priority.HIGH : Priority.NORMAL;
      leader
          .jobs()
          .onAdded(
              JobSpecBuilder.job(j)
                  .team(j % 5 == 0 ? "red" : "blue")
                  .tasks(taskCount)
                  .cores(2)
                  .estimateS(30)
                  .priority(priority)
                  .build(),
              j,
              false);
    }
    for (Job job : leader.jobs().toMarkStarted()) {
      leader.jobs().onProgressRecorded(job, new BitSet());
    }
    PriorityQueue<Due> due = new PriorityQueue<>((left, right) -> Long.compare(left.at, right.at));
    for (int machine = 0; machine < MACHINES; machine++) {
      endTimes.add(new LinkedHashMap<>());
      due.add(new Due(10_000 + machine * 5L, machine));
    }
    long lastTick = 0;
    long now = 0;
    while (done.size() < tasks && now < 600_000) {
      Due next = due.poll();
      now = next.at;
      for (; lastTick + 200 <= now; lastTick += 200) {
        leader.tick(new MonotonicTime(lastTick + 200));
        for (Job job : leader.jobs().toRecord()) {
          leader.jobs().onRecordingStarted(job);
          leader.jobs().onProgressRecorded(job, (BitSet) job.doneTasks().clone());
        }
        MonotonicTime at = new MonotonicTime(lastTick + 200);
        leader.jobs().toFinish().forEach(j -> leader.jobs().onFinished(j, at));
      }
      due.add(new Due(sendHeartbeat(next.machine, now), next.machine));
    }
    assertEquals(tasks, done.size(), "not all tasks are done after " + now + " ms");
    long examinedPerHeartbeat = leader.machinesExamined() / heartbeats;
    // A full round for each heartbeat that changes something would exceed the bound several times
    // over.
    assertTrue(
        examinedPerHeartbeat < 250,
        examinedPerHeartbeat + " machines examined per heartbeat, " + heartbeats + " heartbeats");
  }

  /** Sends a heartbeat of the machine and returns the time of its next one. */
  private long sendHeartbeat(int machine, long now) {
    WorkerHeartbeat heartbeat = heartbeat(machine, now);
    heartbeats++;
    for (WorkerHeartbeat.TaskStatus status : heartbeat.tasks()) {
      if (status.state() == WorkerHeartbeat.TaskState.EXITED && done.add(status.task())) {
        redCores -= isRed(status.task()) ? 2 : 0;
      }
    }
    List<WorkerCommand> commands = leader.onHeartbeat(heartbeat, true, new MonotonicTime(now));
    leader.machines().onRecorded(leader.machines().toRecord());
    commands.forEach(command -> execute(machine, command, now));
    long nextHeartbeat = now + (commands.isEmpty() ? 4000 : 500);
    for (long end : endTimes.get(machine).values()) {
      if (end > now) {
        nextHeartbeat = Math.min(nextHeartbeat, Math.max(end, now + 500));
      }
    }
    return nextHeartbeat;
  }

  /** Guards against machines that join after the last round staying idle while tasks wait. */
  @Test
  void machineThatJoinsBetweenRoundsGetsTasksWithItsFirstHeartbeats() {
    for (int machine = 0; machine < 40; machine++) {
      endTimes.add(new LinkedHashMap<>());
      leader.onHeartbeat(heartbeat(machine, 0), true, new MonotonicTime(1000));
    }
    leader.machines().onRecorded(leader.machines().toRecord());
    leader.jobs().onAdded(JobSpecBuilder.job(1).tasks(600).cores(2).build(), 0, false);
    for (Job job : leader.jobs().toMarkStarted()) {
      leader.jobs().onProgressRecorded(job, new BitSet());
    }
    leader.tick(new MonotonicTime(2000));
    endTimes.add(new LinkedHashMap<>());
    leader.onHeartbeat(heartbeat(40, 2001), true, new MonotonicTime(2001));
    leader.machines().onRecorded(leader.machines().toRecord());
    assertEquals(4, leader.onHeartbeat(heartbeat(40, 2002), true, new MonotonicTime(2002)).size());
  }

  /** Guards against one request per job, which would exceed the cloud's request rate limit. */
  @Test
  void scaleOutIsBatchedAcrossJobs() {
    for (int j = 1; j <= 30; j++) {
      leader
          .jobs()
          .onAdded(JobSpecBuilder.job(j).tasks(12).cores(2).estimateS(60).build(), 0, false);
    }
    leader.tick(new MonotonicTime(1000));
    List<ScaleOutRequest> requests = leader.machines().planScaleOut(new MonotonicTime(1000));
    int[] counts = requests.stream().mapToInt(ScaleOutRequest::count).toArray();
    assertTrue(counts.length >= 1 && counts.length <= 2, Arrays.toString(counts));
    assertTrue(counts[0] >= 40, Arrays.toString(counts));
    Set<String> names = new HashSet<>();
    requests.forEach(r -> assertTrue(names.add(r.name()), "two requests have the same name"));
  }

  /** Guards against launches whose results would exceed the size limit of a heartbeat. */
  @Test
  void fullHeartbeatGetsNoMoreLaunches() {
    leader
        .jobs()
        .onAdded(JobSpecBuilder.job(1).tasks(900).cores(0.01).estimateS(1).build(), 0, false);
    for (Job job : leader.jobs().toMarkStarted()) {
      leader.jobs().onProgressRecorded(job, new BitSet());
    }
    endTimes.add(new LinkedHashMap<>());
    leader.onHeartbeat(heartbeat(0, 0), true, new MonotonicTime(500));
    leader.machines().onRecorded(leader.machines().toRecord());
    leader.tick(new MonotonicTime(1000));
    List<WorkerCommand> commands =
        leader.onHeartbeat(heartbeat(0, 0), true, new MonotonicTime(1000));
    assertTrue(commands.size() > 300 && commands.size() <= 400, "launches: " + commands.size());
    commands.forEach(
        command -> {
          attempts.put(command.task(), command.attempt().number());
          endTimes.get(0).put(command.task(), 0L);
        });
    // All tasks have ended and none is recorded yet, so that their results fill the heartbeat.
    assertEquals(0, leader.onHeartbeat(heartbeat(0, 2000), true, new MonotonicTime(2000)).size());
    assertEquals(400, leader.jobs().find(new JobId(JobSpecBuilder.id(1))).doneCount());
  }
}
