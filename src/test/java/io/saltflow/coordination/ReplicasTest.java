package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.Attempt;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.TaskId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** A service's job: as many tasks as its record says, and none before that is known. */
class ReplicasTest {
  private static final Span NO_TIME = Span.millis(0);

  private final Floor floor =
      new Floor(
          Policies.of(
              Span.seconds(26), Span.seconds(15), 1800, new Policy.Team("blue", 0, 0, 0, 0)),
          List.of());
  private final JobId id = new JobId(Jobs.id(1));

  private static JobSpec service() {
    JobSpec s = Jobs.job(1).daemon().tasks(20).cores(1).build();
    return new JobSpec(
        s.id(),
        "service/thumbs",
        s.team(),
        true,
        s.priority(),
        s.tasks(),
        s.size(),
        s.types(),
        s.zone(),
        s.oneZone(),
        s.spread(),
        s.spotAllowed(),
        s.image(),
        s.imageGb(),
        s.estimate(),
        s.checkpoint(),
        s.save(),
        s.deadline());
  }

  private int onMachine() {
    for (int i = 0; i < 3; i++) {
      floor.pass(1);
      floor.checkIn("vm-1");
    }
    return (int)
        floor.on.get("vm-1").values().stream()
            .filter(t -> t.state() != Report.TaskState.EXITED)
            .count();
  }

  @Test
  void asManyRunAsAreWantedAndTheLatestGoFirst() {
    floor.arrive(service());
    assertEquals(0, onMachine(), "until its record is known none is started");
    floor.leader.want(id, 3);
    assertEquals(3, onMachine());
    floor.leader.want(id, 5);
    assertEquals(5, onMachine());
    floor.leader.want(id, 2);
    assertEquals(2, onMachine());
    assertTrue(floor.on.get("vm-1").containsKey(Floor.task(1, 0)), "the oldest stay");
    assertEquals(2, floor.leader.job(id).replicas(NO_TIME, floor.time()).ready());
    floor.leader.want(id, 0);
    assertEquals(0, onMachine());
  }

  /** A new leader that has not read the record yet stops nothing. */
  @Test
  void whatIsNotSaidIsNeitherStartedNorStopped() {
    Job job = Floor.job(service(), true);
    Floor next =
        new Floor(
            Policies.of(
                Span.seconds(26), Span.seconds(15), 1800, new Policy.Team("blue", 0, 0, 0, 0)),
            List.of(job),
            "vm-1");
    TaskId task = Floor.task(1, 7);
    next.on.put(
        "vm-1",
        new LinkedHashMap<>(
            Map.of(
                task,
                new Report.TaskReport(
                    task,
                    new Attempt(5),
                    Report.TaskState.RUNNING,
                    Report.ExitCause.OTHER,
                    false))));
    for (int i = 0; i < 4; i++) {
      next.pass(1);
      next.checkIn("vm-1");
    }
    assertEquals(1, next.on.get("vm-1").size());
    assertEquals(Report.TaskState.RUNNING, next.on.get("vm-1").get(task).state());
    assertEquals(1, next.leader.job(id).replicas(NO_TIME, next.time()).ready());
  }

  /** A broken build is judged by its roll-out: it must not take machines from other versions. */
  @Test
  void failuresAreToldAndBlamedOnNoMachine() {
    floor.arrive(service());
    floor.leader.want(id, 1);
    for (int i = 0; i < 4; i++) {
      assertEquals(1, onMachine());
      TaskId task = floor.on.get("vm-1").keySet().iterator().next();
      floor.ends("vm-1", task, Report.ExitCause.ERROR);
      floor.checkIn("vm-1");
      floor.pass(3);
    }
    List<Job.End> ends = floor.leader.job(id).takeEnds();
    assertEquals(4, ends.size());
    assertTrue(ends.get(0).failure());
    assertEquals(List.of(), floor.leader.job(id).takeEnds(), "each is told once");
    assertEquals(List.of(), floor.leader.toDelete(floor.time()));
  }
}
