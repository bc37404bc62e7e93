package io.saltflow.protocol;

import java.util.ArrayList;
import java.util.List;

/** A job's description to and from its wire form. */
public final class JobCodec {
  private static final int MAX_TASKS = 100_000;
  private static final int MAX_TEXT = 200;

  /**
   * The most jobs that a job may depend on: with ids of 26 characters they take half of a value of
   * 2 KiB, the smallest that a state service is known to allow.
   */
  public static final int MAX_AWAITS = 32;

  private JobCodec() {}

  /** The id alone, which is looked up before anything else is judged. */
  public static JobId id(Body b) throws BadMessage {
    String id = b.text(Wire.ID);
    if (!JobId.valid(id)) {
      throw new BadMessage(Wire.ID + ": not of the form " + Wire.JOB_PREFIX + "digits");
    }
    return new JobId(id);
  }

  public static JobSpec decode(Body b) throws BadMessage {
    String shape = b.text(Wire.SHAPE);
    if (!shape.equals(Wire.SHAPE_ARRAY) && !shape.equals(Wire.SHAPE_DAEMON)) {
      throw new BadMessage(Wire.SHAPE + ": unknown shape");
    }
    Priority priority = Priority.of(b.text(Wire.PRIORITY));
    if (priority == null) {
      throw new BadMessage(Wire.PRIORITY + ": unknown priority");
    }
    long tasks = b.integer(Wire.TASKS);
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new BadMessage(Wire.TASKS + ": out of range");
    }
    Size size = new Size(b.amount(Wire.CORES), b.amount(Wire.GPUS), b.amount(Wire.MEMORY_GB));
    List<String> types = b.get(Wire.TYPES) == null ? null : b.texts(Wire.TYPES);
    Span deadline = b.get(Wire.DEADLINE_S) == null ? null : b.seconds(Wire.DEADLINE_S);
    return new JobSpec(
        id(b),
        shortText(b, Wire.CLASS),
        shortText(b, Wire.TEAM),
        shape.equals(Wire.SHAPE_DAEMON),
        priority,
        (int) tasks,
        size,
        types,
        b.textOr(Wire.ZONE, null),
        b.flag(Wire.ONE_ZONE),
        b.flag(Wire.SPREAD),
        b.flag(Wire.SPOT),
        b.text(Wire.IMAGE),
        b.amount(Wire.IMAGE_GB),
        b.seconds(Wire.ESTIMATE_S),
        b.seconds(Wire.CHECKPOINT_S),
        b.seconds(Wire.SAVE_S),
        deadline,
        awaits(b));
  }

  /** The jobs that it depends on: accepted jobs, each named once, and not the job itself. */
  private static List<JobId> awaits(Body b) throws BadMessage {
    if (b.get(Wire.AWAITS) == null) {
      return List.of();
    }
    List<String> names = b.texts(Wire.AWAITS);
    if (names.size() > MAX_AWAITS) {
      throw new BadMessage(Wire.AWAITS + ": more than " + MAX_AWAITS + " jobs");
    }
    List<JobId> out = new ArrayList<>();
    for (String name : names) {
      if (!JobId.valid(name)) {
        throw new BadMessage(
            Wire.AWAITS + ": not all are of the form " + Wire.JOB_PREFIX + "digits");
      }
      JobId id = new JobId(name);
      if (out.contains(id)) {
        throw new BadMessage(Wire.AWAITS + ": " + name + " is named twice");
      }
      out.add(id);
    }
    if (out.contains(id(b))) {
      throw new BadMessage(Wire.AWAITS + ": the job itself");
    }
    return List.copyOf(out);
  }

  private static String shortText(Body b, String name) throws BadMessage {
    String text = b.text(name);
    if (text.isEmpty() || text.length() > MAX_TEXT) {
      throw new BadMessage(name + ": empty or too long");
    }
    return text;
  }

  /** The wire form; dependencies are left out where there are none, as former versions did. */
  public static Body encode(JobSpec s) {
    Body body = encodeAlone(s);
    return s.awaits().isEmpty()
        ? body
        : body.with(Wire.AWAITS, s.awaits().stream().map(JobId::text).toList());
  }

  private static Body encodeAlone(JobSpec s) {
    return Body.of()
        .with(Wire.ID, s.id().text())
        .with(Wire.CLASS, s.jobClass())
        .with(Wire.TEAM, s.team())
        .with(Wire.SHAPE, s.daemon() ? Wire.SHAPE_DAEMON : Wire.SHAPE_ARRAY)
        .with(Wire.PRIORITY, s.priority().wireName())
        .with(Wire.TASKS, s.tasks())
        .with(Wire.CORES, s.size().cores())
        .with(Wire.GPUS, s.size().gpus())
        .with(Wire.MEMORY_GB, s.size().memoryGb())
        .with(Wire.TYPES, s.types())
        .with(Wire.ZONE, s.zone())
        .with(Wire.ONE_ZONE, s.oneZone())
        .with(Wire.SPREAD, s.spread())
        .with(Wire.SPOT, s.spotAllowed())
        .with(Wire.IMAGE, s.image())
        .with(Wire.IMAGE_GB, s.imageGb())
        .with(Wire.ESTIMATE_S, s.estimate().toSeconds())
        .with(Wire.CHECKPOINT_S, s.checkpoint().toSeconds())
        .with(Wire.SAVE_S, s.save().toSeconds())
        .with(Wire.DEADLINE_S, s.deadline() == null ? null : s.deadline().toSeconds());
  }
}
