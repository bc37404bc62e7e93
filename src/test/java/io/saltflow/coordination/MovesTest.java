package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.packing.Kept;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.TaskId;
import io.saltflow.protocol.Term;
import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * A large model among pieces: three machines of eight accelerators, each with some small models on
 * it. The leader ends after every step of its plan in turn, with and without its last write.
 */
class MovesTest {
  private static final Size MACHINE = new Size(64, 8, 64);
  private static final Policy POLICY =
      Policies.of(Span.seconds(16), Span.seconds(20), 1800, new Policy.Team("blue", 0, 0, 0, 0));
  private static final JobId LARGE = new JobId(Jobs.id(9));

  /** Nothing is lost of what a leader wrote; what it knew goes with it. */
  private static final class Night {
    final Floor f = new Floor(POLICY, List.of());
    final Map<JobId, JobSpec> live = new LinkedHashMap<>();
    final Map<String, Kept> records = new TreeMap<>();
    long term = Floor.TERM.number();
    boolean loseWrites;
    int mostAway;

    Night() {
      f.takeOver(POLICY, Floor.TERM, List.of(), MACHINE);
      for (String m : List.of("vm-1", "vm-2", "vm-3")) {
        f.checkIn(m);
      }
    }

    void submit(JobSpec spec) {
      live.put(spec.id(), spec);
      f.arrive(spec);
    }

    /** A second: rounds, writes, reports. */
    void step(boolean cloudRefuses) {
      f.pass(1);
      f.leader.decided().mayMove(true);
      for (Rental r : f.leader.toRent(f.time())) {
        if (cloudRefuses) {
          f.leader.refused(r, f.time());
        }
      }
      write();
      for (String m : List.copyOf(f.on.keySet())) {
        f.checkIn(m);
      }
      check();
    }

    void write() {
      for (Kept k : f.leader.decided().movesToRecord()) {
        if (!loseWrites) {
          records.put(k.name(), k);
          f.leader.decided().recorded(k, true);
        }
      }
      f.leader.decided().movesToForget().forEach(records::remove);
    }

    void kill() {
      List<Job> jobs = new ArrayList<>();
      live.values().forEach(s -> jobs.add(new Job(s, 0, new BitSet(), true)));
      f.takeOver(POLICY, new Term(++term), jobs, MACHINE);
      f.leader.decided().moves(records.values(), f.time());
      f.leader.typesKnown(List.of(Floor.type(MACHINE)));
    }

    /** No task on two machines, no machine overfull, at most one replica of a job away. */
    void check() {
      Map<TaskId, String> where = new LinkedHashMap<>();
      f.on.forEach(
          (m, tasks) -> {
            Size sum = Size.ZERO;
            for (Report.TaskReport t : tasks.values()) {
              if (t.state() != Report.TaskState.EXITED) {
                assertEquals(null, where.put(t.task(), m), t.task() + " runs twice");
                sum = sum.plus(live.get(t.task().job()).size());
              }
            }
            assertTrue(sum.fitsIn(MACHINE), m + " holds " + sum);
          });
      for (JobSpec s : live.values()) {
        if (!s.id().equals(LARGE)) {
          long up = where.keySet().stream().filter(t -> t.job().equals(s.id())).count();
          mostAway = Math.max(mostAway, (int) (s.tasks() - up));
        }
      }
    }

    int up(JobId id) {
      int n = 0;
      for (Map<TaskId, Report.TaskReport> tasks : f.on.values()) {
        for (Report.TaskReport t : tasks.values()) {
          n += t.task().job().equals(id) && t.state() != Report.TaskState.EXITED ? 1 : 0;
        }
      }
      return n;
    }
  }

  private static JobSpec model(int number, int replicas, double gpus) {
    return Jobs.job(number)
        .daemon()
        .tasks(replicas)
        .cores(gpus * 4)
        .gpus(gpus)
        .estimateS(0)
        .build();
  }

  /**
   * Each machine holds three small models' replicas and, for a time, work that makes the pieces.
   */
  private static Night pieces() {
    Night n = new Night();
    for (int i = 1; i <= 3; i++) {
      n.submit(Jobs.job(20 + i).daemon().tasks(1).cores(20).gpus(5).estimateS(0).build());
      n.step(true);
    }
    for (int i = 1; i <= 3; i++) {
      n.submit(model(i, 3, 1));
    }
    for (int i = 0; i < 6; i++) {
      n.step(true);
    }
    n.mostAway = 0;
    for (int i = 1; i <= 3; i++) {
      n.f.leader.jobGone(new JobId(Jobs.id(20 + i)), n.f.time());
    }
    for (int i = 0; i < 3; i++) {
      n.step(true);
    }
    for (int i = 1; i <= 3; i++) {
      n.live.remove(new JobId(Jobs.id(20 + i)));
    }
    n.submit(model(9, 1, 8));
    return n;
  }

  private static void assertServed(Night n, String which) {
    for (int i = 0; i < 90 && n.up(LARGE) == 0; i++) {
      n.step(true);
    }
    for (int i = 0; i < 12; i++) {
      n.step(true);
    }
    assertEquals(1, n.up(LARGE), which + ": " + n.f.leader.decided().movesTold());
    for (int i = 1; i <= 3; i++) {
      assertEquals(3, n.up(new JobId(Jobs.id(i))), which);
    }
    assertTrue(n.mostAway <= 1, which + ": " + n.mostAway + " replicas away at once");
    for (Kept k : n.records.values()) {
      assertTrue(k.ended() != null, which + ": room is kept for nobody by " + k);
    }
  }

  @Test
  void aLargeModelFitsAfterMoves() throws IOException {
    Night n = pieces();
    n.f.trace.clear();
    assertServed(n, "undisturbed");
    n.f.leader.decided().movesTold().forEach(n.f::say);
    Traces.check("moves", n.f.trace);
  }

  /** Whoever takes over goes on from the record and the reports alone. */
  @Test
  void theLeaderEndsAfterEachStep() {
    for (int at = 0; at < 45; at++) {
      for (boolean lost : new boolean[] {false, true}) {
        Night n = pieces();
        n.mostAway = 0;
        for (int i = 0; i < at; i++) {
          n.loseWrites = lost && i >= at - 2;
          n.step(true);
        }
        n.loseWrites = false;
        n.kill();
        assertServed(n, "killed after " + at + " s" + (lost ? ", its last writes lost" : ""));
      }
    }
  }

  /** The machine that a replica is to go to, the cleared one, or the model itself is gone. */
  @Test
  void whatAPlanRestsOnIsGone() {
    for (int at = 5; at < 30; at++) {
      for (String gone : List.of("target", "cleared", "model")) {
        Night n = pieces();
        for (int i = 0; i < at; i++) {
          n.step(true);
        }
        Kept plan =
            n.records.values().stream().filter(k -> k.ended() == null).findFirst().orElse(null);
        if (plan == null) {
          continue;
        }
        if (gone.equals("model")) {
          n.live.remove(LARGE);
          n.f.leader.jobGone(LARGE, n.f.time());
        } else {
          MachineId id = gone.equals("cleared") ? plan.clear() : plan.moves().get(0).to();
          n.f.on.remove(id.text());
          n.f.leader.deleted(List.of(id), n.f.time());
          n.f.checkIn("vm-" + (10 + at));
        }
        for (int i = 0; i < 90; i++) {
          n.step(true);
        }
        for (int i = 1; i <= 3; i++) {
          assertEquals(3, n.up(new JobId(Jobs.id(i))), gone + " after " + at);
        }
        assertEquals(gone.equals("model") ? 0 : 1, n.up(LARGE), gone + " after " + at);
        assertTrue(n.records.values().stream().allMatch(k -> k.ended() != null), gone);
      }
    }
  }

  /** Small models keep coming while room is made: it is the large one's, and nobody else's. */
  @Test
  void theRoomThatIsMadeIsKept() {
    Night n = pieces();
    List<JobId> more = new ArrayList<>();
    for (int i = 0; i < 40 && n.up(LARGE) == 0; i++) {
      if (i % 2 == 0 && i < 14) {
        more.add(new JobId(Jobs.id(40 + i)));
        n.submit(model(40 + i, 1, 1));
      }
      n.step(true);
    }
    assertEquals(1, n.up(LARGE), "" + n.f.leader.decided().movesTold());
    assertTrue(more.size() >= 4, "others came meanwhile: " + more);
    for (int i = 0; i < 5; i++) {
      n.step(true);
    }
    more.forEach(id -> assertEquals(1, n.up(id), "there is room for all of them"));
  }

  /** What no successor would know of is not begun. */
  @Test
  void nothingIsMovedBeforeThePlanIsRecorded() {
    Night n = pieces();
    n.mostAway = 0;
    n.loseWrites = true;
    for (int i = 0; i < 30; i++) {
      n.step(true);
    }
    assertEquals(0, n.mostAway);
    assertTrue(n.f.leader.decided().movesTold().get(0).contains("goes on, 3 to go"));
    n.loseWrites = false;
    n.kill();
    assertServed(n, "planned anew by another");
  }

  /** While the cloud may still have a machine, and in a takeover, nothing is moved. */
  @Test
  void nothingIsMovedThatNeedNotBe() {
    Night n = pieces();
    for (int i = 0; i < 20; i++) {
      n.step(false);
    }
    assertTrue(n.records.isEmpty(), "a machine may be rented: " + n.f.leader.decided().movesTold());
  }
}
