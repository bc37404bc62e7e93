package io.saltflow.coordination;

import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.TaskId;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One leader and a few machines that a test reports for by hand. */
final class Floor {
  static final Term TERM = new Term(7);
  private static final MachineType TYPE = type(new Size(10, 0, 100));

  final List<String> trace = new ArrayList<>();
  final Map<String, Map<TaskId, Report.TaskReport>> on = new LinkedHashMap<>();
  private final Map<String, Long> sequence = new LinkedHashMap<>();
  private final Map<String, Long> session = new LinkedHashMap<>();
  Leader leader;

  /** Machines that the cloud will take, and how soon. */
  final Map<String, Span> notices = new LinkedHashMap<>();

  private Term term = TERM;

  long now = 100_000;

  Floor(Policy policy, List<Job> jobs, String... oldMachines) {
    List<Leader.LedgerEntry> ledger = new ArrayList<>();
    for (String m : oldMachines) {
      ledger.add(entry(m));
    }
    leader = new Leader(policy, TERM, jobs, ledger, true, List.of(TYPE), time(), now);
  }

  static MachineType type(Size size) {
    return new MachineType("box", size, 1, 1, 0.5, Span.seconds(15), List.of("a", "b"));
  }

  /** Another leader takes over: machines and what is on them stay. */
  void takeOver(Policy policy, Term by, List<Job> jobs, Size machine) {
    List<Leader.LedgerEntry> ledger = new ArrayList<>();
    on.keySet().forEach(m -> ledger.add(entry(m)));
    term = by;
    leader = new Leader(policy, by, jobs, ledger, true, List.of(type(machine)), time(), now);
  }

  private static Leader.LedgerEntry entry(String machine) {
    return new Leader.LedgerEntry(new MachineId(machine), "box", "a", false);
  }

  static Job job(JobSpec spec, boolean maybeStarted) {
    return new Job(spec, 0, new BitSet(), maybeStarted);
  }

  Time time() {
    return new Time(now);
  }

  void pass(double seconds) {
    now += Math.round(seconds * 1000);
    leader.tick(time());
  }

  /** Time goes by while the machine goes on reporting. */
  void work(String machine, int seconds) {
    for (int i = 0; i < seconds; i += 2) {
      pass(2);
      checkIn(machine);
    }
  }

  void say(String what) {
    trace.add(String.format("%6.1f  %s", (now - 100_000) / 1000.0, what));
  }

  void arrive(JobSpec spec) {
    leader.jobSeen(spec, now, false);
    for (Job j : leader.toMark()) {
      leader.recorded(j, new java.util.BitSet());
    }
    say(
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

  /** The machine ran a task to its end. */
  void ends(String machine, TaskId task, Report.ExitCause cause) {
    Report.TaskReport t = on.get(machine).get(task);
    on.get(machine)
        .put(task, new Report.TaskReport(task, t.attempt(), Report.TaskState.EXITED, cause, true));
    say(task + " on " + machine + " exits: " + cause);
  }

  void newSession(String machine) {
    session.merge(machine, 1L, Long::sum);
    on.put(machine, new LinkedHashMap<>());
  }

  Report report(String machine, Term token) {
    Map<TaskId, Report.TaskReport> tasks = on.computeIfAbsent(machine, m -> new LinkedHashMap<>());
    long n = sequence.merge(machine, 1L, Long::sum);
    return new Report(
        new MachineId(machine),
        "",
        "box",
        machine.endsWith("b") ? "b" : "a",
        machine.endsWith("s"),
        session.getOrDefault(machine, 1L),
        n,
        token,
        notices.get(machine),
        new ArrayList<>(tasks.values()));
  }

  /** Reports and obeys: launched tasks run at the next report. */
  List<Order> checkIn(String machine) {
    Report r = report(machine, term);
    List<Order> orders = leader.onReport(r, true, time());
    leader.ledgered(leader.toLedger());
    obey(machine, orders);
    return orders;
  }

  void obey(String machine, List<Order> orders) {
    Map<TaskId, Report.TaskReport> tasks = on.get(machine);
    for (Order o : orders) {
      if (o instanceof Order.Launch) {
        tasks.put(
            o.task(),
            new Report.TaskReport(
                o.task(), o.attempt(), Report.TaskState.RUNNING, Report.ExitCause.OTHER, false));
        say(machine + " launches " + o.task());
      } else if (o instanceof Order.Halt halt) {
        tasks.put(
            o.task(),
            new Report.TaskReport(
                o.task(),
                o.attempt(),
                Report.TaskState.EXITED,
                Report.ExitCause.STOPPED,
                halt.grace().ms() > 0));
        say(machine + " stops " + o.task() + " with " + halt.grace().toSeconds() + " s to save");
      } else {
        tasks.remove(o.task());
      }
    }
  }

  static TaskId task(int job, int index) {
    return TaskId.parse(Jobs.id(job) + "/" + index);
  }
}
