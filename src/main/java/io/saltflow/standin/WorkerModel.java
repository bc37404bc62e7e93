package io.saltflow.standin;

import io.saltflow.protocol.Attempt;
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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * PROTOCOL's worker as a deterministic core: it is told the time, what it reported and what was
 * answered. Tasks are timers. How one ends is said by its image's name: {@value #ERROR} fails when
 * its time is over, {@value #HANG} never ends, any other is done.
 */
public final class WorkerModel {
  public static final String ERROR = "stand-in/error";
  public static final String HANG = "stand-in/hang";

  private record Key(TaskId task, Attempt attempt) {}

  private static final class Task {
    final JobSpec spec;
    Report.TaskState state = Report.TaskState.FETCHING;
    Report.ExitCause cause = Report.ExitCause.OTHER;
    boolean saved;
    boolean fails;
    Time runningSince;
    Time next;

    Task(JobSpec spec, Time fetched) {
      this.spec = spec;
      this.next = fetched;
    }

    void exit(Report.ExitCause why) {
      state = Report.TaskState.EXITED;
      cause = why;
      next = Time.NEVER;
    }
  }

  private final MachineId id;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final Span lease;
  private final Depot depot;
  private final Map<Key, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Time> images = new HashMap<>();
  private Term token = Term.NONE;
  private long session = 1;
  private long sequence;
  private Time leaseFrom;
  private boolean changed = true;

  WorkerModel(
      MachineId id,
      MachineType type,
      String zone,
      boolean spot,
      Span lease,
      Depot depot,
      Time now) {
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.lease = lease;
    this.depot = depot;
    this.leaseFrom = now;
  }

  /** The next report; whatever changed before it is told by it. */
  Report report() {
    changed = false;
    List<Report.TaskReport> list = new ArrayList<>(tasks.size());
    tasks.forEach(
        (key, t) ->
            list.add(new Report.TaskReport(key.task, key.attempt, t.state, t.cause, t.saved)));
    return new Report(
        id, "127.0.0.1:0", type.name(), zone, spot, session, ++sequence, token, null, list);
  }

  /** Whether something changed that the last report does not tell. */
  boolean changed() {
    return changed;
  }

  /** The answer to a report of the given session that was sent at that time. */
  void answered(long reportSession, Term answerToken, List<Order> orders, Time sent, Time now) {
    tick(now);
    if (reportSession != session || answerToken.compareTo(token) < 0) {
      return;
    }
    changed |= answerToken.compareTo(token) > 0;
    token = answerToken;
    leaseFrom = sent;
    for (Order order : orders) {
      execute(order, now);
    }
  }

  private void execute(Order order, Time now) {
    Key key = new Key(order.task(), order.attempt());
    Task t = tasks.get(key);
    if (order instanceof Order.Launch) {
      if (t == null) {
        changed = true;
        tasks.put(key, launch(key, now));
      }
    } else if (t != null && order instanceof Order.Halt halt) {
      halt(key.task, t, halt.grace(), now);
    } else if (t != null && t.state == Report.TaskState.EXITED) {
      tasks.remove(key);
      changed = true;
    }
  }

  private Task launch(Key key, Time now) {
    JobSpec spec = depot.description(key.task.job());
    Task t = new Task(spec, now);
    if (spec == null || key.task.index() >= spec.tasks()) {
      t.exit(Report.ExitCause.UNKNOWN_TASK);
    } else if (present(key.task)) {
      t.exit(Report.ExitCause.BUSY);
    } else if (!spec.size().fitsIn(room())) {
      t.exit(Report.ExitCause.NO_ROOM);
    } else {
      t.next = images.computeIfAbsent(spec.image(), image -> now.plus(fetch(spec)));
      t.next = Time.later(now, t.next);
    }
    return t;
  }

  private boolean present(TaskId task) {
    return tasks.entrySet().stream()
        .anyMatch(
            e -> e.getKey().task.equals(task) && e.getValue().state != Report.TaskState.EXITED);
  }

  private Span fetch(JobSpec spec) {
    return Span.seconds(spec.imageGb() / type.fetchGbPerS());
  }

  private Size room() {
    Size left = type.size();
    for (Task t : tasks.values()) {
      if (t.state != Report.TaskState.EXITED) {
        left = left.minus(t.spec.size());
      }
    }
    return left;
  }

  private void halt(TaskId task, Task t, Span grace, Time now) {
    if (t.state == Report.TaskState.EXITED) {
      return;
    }
    changed = true;
    boolean saves =
        t.state == Report.TaskState.RUNNING
            && t.spec.checkpoints()
            && grace.compareTo(t.spec.save()) >= 0;
    if (saves) {
      depot.save(task, depot.progress(task).plus(now.since(t.runningSince)));
      t.state = Report.TaskState.SAVING;
      t.next = now.plus(t.spec.save());
    } else if (t.state != Report.TaskState.SAVING || grace.ms() == 0) {
      t.exit(Report.ExitCause.STOPPED);
    }
  }

  /** Fetches, runs and leases that are over by now. */
  void tick(Time now) {
    if (now.since(leaseFrom).longerThan(lease)) {
      changed |= !tasks.isEmpty();
      tasks.clear();
      session++;
      leaseFrom = now;
      return;
    }
    tasks.forEach((key, t) -> advance(key.task, t, now));
  }

  private void advance(TaskId task, Task t, Time now) {
    while (now.compareTo(t.next) >= 0) {
      changed = true;
      switch (t.state) {
        case FETCHING -> start(task, t);
        case RUNNING -> end(task, t);
        case SAVING -> {
          t.saved = true;
          t.exit(Report.ExitCause.STOPPED);
        }
        case EXITED -> throw new IllegalStateException("an exited task waits for nothing");
      }
    }
  }

  private void start(TaskId task, Task t) {
    if (depot.hasResult(task)) {
      t.exit(Report.ExitCause.DONE);
      return;
    }
    t.state = Report.TaskState.RUNNING;
    t.runningSince = t.next;
    boolean fails = t.spec.image().equals(ERROR);
    t.fails = fails;
    Span dies = depot.told(task.job()).behaviour().diesAfter();
    if (t.spec.daemon() && dies != null) {
      t.fails = true;
      t.next = t.runningSince.plus(dies);
      return;
    }
    boolean endless = t.spec.image().equals(HANG) || (t.spec.daemon() && !fails);
    Span left = t.spec.estimate().minus(depot.progress(task));
    t.next = endless ? Time.NEVER : t.runningSince.plus(Span.millis(Math.max(0, left.ms())));
  }

  private void end(TaskId task, Task t) {
    if (t.fails) {
      t.exit(Report.ExitCause.ERROR);
    } else {
      depot.keepResult(task);
      t.exit(Report.ExitCause.DONE);
    }
  }

  /** The tasks that run, with what they were told. */
  Map<TaskId, Depot.Told> running() {
    Map<TaskId, Depot.Told> out = new HashMap<>();
    tasks.forEach(
        (key, t) -> {
          if (t.state == Report.TaskState.RUNNING && t.spec.daemon()) {
            out.put(key.task, depot.told(key.task.job()));
          }
        });
    return out;
  }

  /** When {@link #tick} has something to do next. */
  Time nextDue() {
    Time next = leaseFrom.plus(lease);
    for (Task t : tasks.values()) {
      next = Time.earlier(next, t.next);
    }
    return next;
  }
}
