package io.saltflow.records;

import io.saltflow.binpacking.RecordedPlan;
import io.saltflow.binpacking.ReplicaMove;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.model.TaskId;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes migration plans, stored under {@code plan/moves/NAME}. Earlier builds never
 * read them. A plan that cannot be read is ignored; a replica that it had already stopped waits in
 * the queue like any other.
 */
public final class MigrationPlanCodec {
  private static final String PENDING_JOB = "for";
  private static final String CLEARED_MACHINE = "clear";
  private static final String STEPS = "steps";
  private static final String TASK = "task";
  private static final String FROM = "from";
  private static final String TO = "to";
  private static final String PLANNED_AT = "at";
  private static final String ENDED_AT = "ended";
  private static final String DONE = "done";
  private static final String REASON = "why";

  private MigrationPlanCodec() {}

  /** Encodes a migration plan, with its outcome if it has ended. */
  public static MessageBody encode(RecordedPlan plan) {
    List<Object> steps = new ArrayList<>();
    for (ReplicaMove move : plan.moves()) {
      steps.add(
          MessageBody.of()
              .with(TASK, move.task().toString())
              .with(FROM, move.from().text())
              .with(TO, move.to().text())
              .fields());
    }
    MessageBody body =
        MessageBody.of()
            .with(PENDING_JOB, plan.waitingJob().text())
            .with(CLEARED_MACHINE, plan.target().text())
            .with(STEPS, steps)
            .with(PLANNED_AT, plan.plannedMs());
    if (plan.outcome() != null) {
      body.with(ENDED_AT, plan.outcome().atMs())
          .with(DONE, plan.outcome().succeeded())
          .with(REASON, plan.outcome().reason());
    }
    return body;
  }

  /**
   * Decodes a migration plan.
   *
   * @param name last part of the record's key
   * @throws InvalidMessageException if a field is missing or has an invalid value
   */
  public static RecordedPlan decode(String name, MessageBody body) throws InvalidMessageException {
    List<ReplicaMove> moves = new ArrayList<>();
    for (MessageBody step : body.maps(STEPS)) {
      TaskId task = TaskId.parse(step.text(TASK));
      if (task == null) {
        throw new InvalidMessageException(TASK + ": expected a task id");
      }
      moves.add(
          new ReplicaMove(task, new MachineId(step.text(FROM)), new MachineId(step.text(TO))));
    }
    RecordedPlan.PlanOutcome outcome =
        body.get(ENDED_AT) == null
            ? null
            : new RecordedPlan.PlanOutcome(
                body.flag(DONE), body.textOr(REASON, ""), body.integer(ENDED_AT));
    return new RecordedPlan(
        name,
        new JobId(body.text(PENDING_JOB)),
        new MachineId(body.text(CLEARED_MACHINE)),
        moves,
        body.integer(PLANNED_AT),
        outcome);
  }
}
