package io.saltflow.protocol;

import java.util.ArrayList;
import java.util.List;

/** Workers' reports and the orders that answer them, to and from their wire form. */
public final class WorkerCodec {
  private WorkerCodec() {}

  public static Report decodeReport(Body b) throws BadMessage {
    List<Report.TaskReport> tasks = new ArrayList<>();
    for (Body t : b.maps(Wire.TASKS)) {
      TaskId id = TaskId.parse(t.text(Wire.TASK));
      if (id == null) {
        throw new BadMessage(Wire.TASK + ": not a task's name");
      }
      tasks.add(
          new Report.TaskReport(
              id,
              new Attempt(t.integer(Wire.ATTEMPT)),
              state(t.text(Wire.STATE)),
              cause(t.textOr(Wire.CAUSE, "")),
              t.flagOr(Wire.SAVED, false)));
    }
    return new Report(
        new MachineId(b.text(Wire.MACHINE)),
        b.textOr(Wire.ADDR, ""),
        b.text(Wire.TYPE),
        b.text(Wire.ZONE),
        b.flagOr(Wire.SPOT, false),
        b.integer(Wire.SESSION),
        b.integer(Wire.SEQUENCE),
        new Term(b.integerOr(Wire.TOKEN, 0)),
        b.get(Wire.NOTICE_S) == null ? null : b.seconds(Wire.NOTICE_S),
        tasks);
  }

  public static Body encodeReport(Report r) {
    List<Object> tasks = new ArrayList<>(r.tasks().size());
    for (Report.TaskReport t : r.tasks()) {
      Body b =
          Body.of()
              .with(Wire.TASK, t.task().toString())
              .with(Wire.ATTEMPT, t.attempt().number())
              .with(Wire.STATE, name(t.state()));
      if (t.state() == Report.TaskState.EXITED) {
        b.with(Wire.CAUSE, name(t.cause())).with(Wire.SAVED, t.saved());
      }
      tasks.add(b);
    }
    return Body.of()
        .with(Wire.MACHINE, r.machine().text())
        .with(Wire.ADDR, r.address())
        .with(Wire.TYPE, r.type())
        .with(Wire.ZONE, r.zone())
        .with(Wire.SPOT, r.spot())
        .with(Wire.SESSION, r.session())
        .with(Wire.SEQUENCE, r.sequence())
        .with(Wire.TOKEN, r.token().number())
        .with(Wire.NOTICE_S, r.notice() == null ? null : r.notice().toSeconds())
        .with(Wire.TASKS, tasks);
  }

  private static String name(Report.TaskState state) {
    return switch (state) {
      case FETCHING -> Wire.TASK_FETCHING;
      case RUNNING -> Wire.TASK_RUNNING;
      case SAVING -> Wire.TASK_SAVING;
      case EXITED -> Wire.TASK_EXITED;
    };
  }

  private static String name(Report.ExitCause cause) {
    return switch (cause) {
      case DONE -> Wire.CAUSE_DONE;
      case STOPPED -> Wire.CAUSE_STOPPED;
      case ERROR, OTHER -> Wire.CAUSE_ERROR;
      case NO_ROOM -> Wire.CAUSE_NO_ROOM;
      case BUSY -> Wire.CAUSE_BUSY;
      case UNKNOWN_TASK -> Wire.CAUSE_UNKNOWN;
    };
  }

  /** The orders of an answer. One that is not known here is left out. */
  public static List<Order> decodeOrders(Body b) throws BadMessage {
    List<Order> out = new ArrayList<>();
    for (Body o : b.maps(Wire.ORDERS)) {
      TaskId task = TaskId.parse(o.text(Wire.TASK));
      if (task == null) {
        throw new BadMessage(Wire.TASK + ": not a task's name");
      }
      Attempt attempt = new Attempt(o.integer(Wire.ATTEMPT));
      switch (o.text(Wire.VERB)) {
        case Wire.VERB_LAUNCH -> out.add(new Order.Launch(task, attempt));
        case Wire.VERB_HALT -> out.add(new Order.Halt(task, attempt, o.seconds(Wire.GRACE_S)));
        case Wire.VERB_CLEAR -> out.add(new Order.Clear(task, attempt));
        default -> {}
      }
    }
    return out;
  }

  /** A state that we do not know is taken as running: the task is on the machine. */
  private static Report.TaskState state(String text) {
    return switch (text) {
      case Wire.TASK_FETCHING -> Report.TaskState.FETCHING;
      case Wire.TASK_SAVING -> Report.TaskState.SAVING;
      case Wire.TASK_EXITED -> Report.TaskState.EXITED;
      default -> Report.TaskState.RUNNING;
    };
  }

  private static Report.ExitCause cause(String text) {
    return switch (text) {
      case Wire.CAUSE_DONE -> Report.ExitCause.DONE;
      case Wire.CAUSE_STOPPED -> Report.ExitCause.STOPPED;
      case Wire.CAUSE_ERROR -> Report.ExitCause.ERROR;
      case Wire.CAUSE_NO_ROOM -> Report.ExitCause.NO_ROOM;
      case Wire.CAUSE_BUSY -> Report.ExitCause.BUSY;
      case Wire.CAUSE_UNKNOWN -> Report.ExitCause.UNKNOWN_TASK;
      default -> Report.ExitCause.OTHER;
    };
  }

  public static Body encodeOrders(Term token, List<Order> orders) {
    List<Object> list = new ArrayList<>(orders.size());
    for (Order order : orders) {
      Body b =
          Body.of()
              .with(Wire.VERB, verb(order))
              .with(Wire.TASK, order.task().toString())
              .with(Wire.ATTEMPT, order.attempt().number());
      if (order instanceof Order.Halt halt) {
        b.with(Wire.GRACE_S, halt.grace().toSeconds());
      }
      list.add(b);
    }
    return Body.of().with(Wire.TOKEN, token.number()).with(Wire.ORDERS, list);
  }

  private static String verb(Order order) {
    if (order instanceof Order.Launch) {
      return Wire.VERB_LAUNCH;
    }
    return order instanceof Order.Halt ? Wire.VERB_HALT : Wire.VERB_CLEAR;
  }
}
