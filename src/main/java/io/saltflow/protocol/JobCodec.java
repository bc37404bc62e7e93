package io.saltflow.protocol;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes job specifications. */
public final class JobCodec {
  private static final int MAX_TASKS = 100_000;
  private static final int MAX_TEXT = 200;

  /**
   * Maximum number of dependencies of a job. With ids of 26 characters they take half of a 2 KiB
   * value, the smallest value limit of the supported key-value stores.
   */
  public static final int MAX_DEPENDENCIES = 32;

  private JobCodec() {}

  /** Decodes only the id, which is looked up before the other fields are validated. */
  public static JobId id(MessageBody body) throws InvalidMessageException {
    String id = body.text(Wire.ID);
    if (!JobId.valid(id)) {
      throw new InvalidMessageException(Wire.ID + ": not of the form " + JobId.PREFIX + "digits");
    }
    return new JobId(id);
  }

  /**
   * Decodes and validates a job.
   *
   * @throws InvalidMessageException if a field is invalid; the message names the field
   */
  public static JobSpec decode(MessageBody body) throws InvalidMessageException {
    String shape = body.text(Wire.SHAPE);
    if (!shape.equals(Wire.SHAPE_ARRAY) && !shape.equals(Wire.SHAPE_SERVICE)) {
      throw new InvalidMessageException(Wire.SHAPE + ": unknown shape");
    }
    Priority priority = PriorityNames.parse(body.text(Wire.PRIORITY));
    if (priority == null) {
      throw new InvalidMessageException(Wire.PRIORITY + ": unknown priority");
    }
    long tasks = body.integer(Wire.TASKS);
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new InvalidMessageException(Wire.TASKS + ": out of range");
    }
    Resources size =
        new Resources(
            body.nonNegativeNumber(Wire.CORES),
            body.nonNegativeNumber(Wire.GPUS),
            body.nonNegativeNumber(Wire.MEMORY_GB));
    List<String> types =
        body.get(Wire.MACHINE_TYPES) == null ? null : body.texts(Wire.MACHINE_TYPES);
    TimeSpan deadline = body.get(Wire.DEADLINE_S) == null ? null : body.seconds(Wire.DEADLINE_S);
    return new JobSpec(
        id(body),
        shortText(body, Wire.JOB_CLASS),
        shortText(body, Wire.TEAM),
        shape.equals(Wire.SHAPE_SERVICE),
        priority,
        (int) tasks,
        size,
        types,
        body.textOr(Wire.ZONE, null),
        body.flag(Wire.ONE_ZONE),
        body.flag(Wire.SPREAD),
        body.flag(Wire.SPOT),
        body.text(Wire.IMAGE),
        body.nonNegativeNumber(Wire.IMAGE_GB),
        body.seconds(Wire.ESTIMATE_S),
        body.seconds(Wire.CHECKPOINT_INTERVAL_S),
        body.seconds(Wire.CHECKPOINT_WRITE_S),
        deadline,
        decodeDependencies(body));
  }

  /** Decodes the dependencies, which must be distinct valid ids other than the id of the job. */
  private static List<JobId> decodeDependencies(MessageBody body) throws InvalidMessageException {
    if (body.get(Wire.DEPENDENCIES) == null) {
      return List.of();
    }
    List<String> names = body.texts(Wire.DEPENDENCIES);
    if (names.size() > MAX_DEPENDENCIES) {
      throw new InvalidMessageException(
          Wire.DEPENDENCIES + ": more than " + MAX_DEPENDENCIES + " jobs");
    }
    List<JobId> out = new ArrayList<>();
    for (String name : names) {
      if (!JobId.valid(name)) {
        throw new InvalidMessageException(
            Wire.DEPENDENCIES + ": not all are of the form " + JobId.PREFIX + "digits");
      }
      JobId id = new JobId(name);
      if (out.contains(id)) {
        throw new InvalidMessageException(Wire.DEPENDENCIES + ": " + name + " is named twice");
      }
      out.add(id);
    }
    if (out.contains(id(body))) {
      throw new InvalidMessageException(Wire.DEPENDENCIES + ": the job itself");
    }
    return List.copyOf(out);
  }

  private static String shortText(MessageBody body, String name) throws InvalidMessageException {
    String text = body.text(name);
    if (text.isEmpty() || text.length() > MAX_TEXT) {
      throw new InvalidMessageException(name + ": empty or too long");
    }
    return text;
  }

  /** Encodes a job. Empty dependencies are omitted for compatibility with earlier versions. */
  public static MessageBody encode(JobSpec spec) {
    MessageBody body = encodeWithoutDependencies(spec);
    return spec.dependencies().isEmpty()
        ? body
        : body.with(Wire.DEPENDENCIES, spec.dependencies().stream().map(JobId::text).toList());
  }

  private static MessageBody encodeWithoutDependencies(JobSpec spec) {
    return MessageBody.of()
        .with(Wire.ID, spec.id().text())
        .with(Wire.JOB_CLASS, spec.jobClass())
        .with(Wire.TEAM, spec.team())
        .with(Wire.SHAPE, spec.daemon() ? Wire.SHAPE_SERVICE : Wire.SHAPE_ARRAY)
        .with(Wire.PRIORITY, PriorityNames.of(spec.priority()))
        .with(Wire.TASKS, spec.tasks())
        .with(Wire.CORES, spec.size().cores())
        .with(Wire.GPUS, spec.size().gpus())
        .with(Wire.MEMORY_GB, spec.size().memoryGb())
        .with(Wire.MACHINE_TYPES, spec.machineTypes())
        .with(Wire.ZONE, spec.zone())
        .with(Wire.ONE_ZONE, spec.oneZone())
        .with(Wire.SPREAD, spec.spread())
        .with(Wire.SPOT, spec.spotAllowed())
        .with(Wire.IMAGE, spec.image())
        .with(Wire.IMAGE_GB, spec.imageGb())
        .with(Wire.ESTIMATE_S, spec.estimate().toSeconds())
        .with(Wire.CHECKPOINT_INTERVAL_S, spec.checkpointInterval().toSeconds())
        .with(Wire.CHECKPOINT_WRITE_S, spec.checkpointWrite().toSeconds())
        .with(Wire.DEADLINE_S, spec.deadline() == null ? null : spec.deadline().toSeconds());
  }
}
