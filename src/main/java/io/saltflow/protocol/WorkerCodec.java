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
