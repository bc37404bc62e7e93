package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.Attempt;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.TaskId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
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
        s.deadline(),
        s.awaits());
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
    floor.leader.want(id, Wanted.anywhere(3), new Disruptions());
    assertEquals(3, onMachine());
    floor.leader.want(id, Wanted.anywhere(5), new Disruptions());
    assertEquals(5, onMachine());
    floor.leader.want(id, Wanted.anywhere(2), new Disruptions());
    assertEquals(2, onMachine());
    assertTrue(floor.on.get("vm-1").containsKey(Floor.task(1, 0)), "the oldest stay");
    assertEquals(2, floor.leader.job(id).replicas(NO_TIME, floor.time()).ready());
    floor.leader.want(id, Wanted.anywhere(0), new Disruptions());
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
    floor.leader.want(id, Wanted.anywhere(1), new Disruptions());
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

  private static final String[] FLEET = {"vm-1", "vm-2", "vm-1b", "vm-2b"};

  /** The fleet reports for a while. */
  private void work(int seconds, String... machines) {
    for (int i = 0; i < seconds; i++) {
      floor.pass(1);
      for (String m : machines) {
        floor.checkIn(m);
      }
    }
  }

  private long on(String machine) {
    return floor.on.get(machine).values().stream()
        .filter(t -> t.state() == Report.TaskState.RUNNING)
        .count();
  }

  private List<Long> spread() {
    return Stream.of(FLEET).map(this::on).toList();
  }

  @Test
  void replicasAreSpreadOverZonesAndMachinesAndStayEvenWhenSomeGo() {
    work(2, FLEET);
    floor.arrive(service());
    floor.leader.want(id, Wanted.anywhere(6), new Disruptions());
    work(3, FLEET);
    assertEquals(6, spread().stream().mapToLong(n -> n).sum());
    assertEquals(3, on("vm-1") + on("vm-2"), "as many in each zone: " + spread());
    assertTrue(spread().stream().allMatch(n -> n >= 1 && n <= 2), spread().toString());
    floor.leader.want(id, Wanted.anywhere(4), new Disruptions());
    work(3, FLEET);
    assertEquals(List.of(1L, 1L, 1L, 1L), spread());
  }

  /**
   * A roll-out goes through one zone at a time: new ones start there, old ones leave from there.
   */
  @Test
  void aZoneIsFilledAndLeftFirstIfThatIsAsked() {
    work(2, FLEET);
    floor.arrive(service());
    floor.leader.want(id, Wanted.in(List.of("b"), 4), new Disruptions());
    work(3, FLEET);
    assertEquals(List.of(0L, 0L, 2L, 2L), spread());
    floor.leader.want(id, Wanted.in(List.of("a", "b"), 8), new Disruptions());
    work(3, FLEET);
    assertEquals(List.of(2L, 2L, 2L, 2L), spread());
    floor.leader.want(id, Wanted.leaving(List.of("a"), 4), new Disruptions());
    work(3, FLEET);
    assertEquals(List.of(0L, 0L, 2L, 2L), spread());
  }

  /** The cloud will take a machine: what serves there is replaced first, and is no failure. */
  @Test
  void aDrainedMachinesReplicaIsReplacedWhileItStillServes() {
    work(2, "vm-1", "vm-1b");
    floor.arrive(service());
    floor.leader.want(id, Wanted.anywhere(2), new Disruptions());
    work(3, "vm-1", "vm-1b");
    floor.checkIn("vm-2b");
    floor.notices.put("vm-1b", Span.seconds(30));
    work(3, "vm-1", "vm-1b", "vm-2b");
    assertEquals(1, on("vm-1b"), "it serves to the end");
    assertEquals(1, on("vm-2b"), "its replacement runs already");
    Job.Replicas r = floor.leader.job(id).replicas(NO_TIME, floor.time());
    assertEquals(3, r.ready());
    assertEquals(2, r.settled(), "what goes soon is not counted on");
    floor.leader.deleted(List.of(new MachineId("vm-1b")), floor.time());
    work(3, "vm-1", "vm-2b");
    assertEquals(List.of(1L, 1L), List.of(on("vm-1"), on("vm-2b")));
    assertTrue(floor.leader.job(id).takeEnds().stream().noneMatch(Job.End::failure));
  }

  /** Preemption draws on the same budget as the roll-out: not one more than may be missing. */
  @Test
  void preemptionTakesNoMoreThanTheServicesBudgetAllows() {
    work(2, "vm-1");
    floor.arrive(service());
    Disruptions budget = new Disruptions();
    floor.leader.want(id, Wanted.anywhere(10), budget);
    work(3, "vm-1");
    assertEquals(10, on("vm-1"));
    floor.arrive(Jobs.job(2).cores(3).priority(Priority.CRITICAL).build());
    work(4, "vm-1");
    assertEquals(10, on("vm-1"), "nobody has said that any may go");
    budget.allow(2);
    work(4, "vm-1");
    assertEquals(10, on("vm-1"), "two would not make room for it");
    budget.allow(3);
    work(4, "vm-1");
    assertTrue(floor.on.get("vm-1").containsKey(Floor.task(2, 0)), "three did");
    assertFalse(budget.covers(1), "and are used up");
  }

  /** A machine that fails what it is given is returned once its replicas have been replaced. */
  @Test
  void aFaultyMachineWaitsForItsReplicasReplacements() {
    work(2, "vm-1", "vm-1b");
    floor.arrive(service());
    Disruptions budget = new Disruptions();
    floor.leader.want(id, Wanted.anywhere(2), budget);
    work(3, "vm-1", "vm-1b");
    budget.allow(-1);
    floor.leader.listed(
        List.of(
            new CloudCodec.Listed(
                new MachineId("vm-1b"), "", "box", "b", false, false, true, NO_TIME)),
        floor.time());
    work(1, "vm-1", "vm-1b");
    assertEquals(List.of(), floor.leader.toDelete(floor.time()), "one is missing already");
    work(3, "vm-1", "vm-1b");
    assertEquals(2, on("vm-1"), "the replacement, where there is room");
    budget.allow(0);
    assertEquals(List.of(new MachineId("vm-1b")), floor.leader.toDelete(floor.time()));
  }
}
