package io.saltflow.cluster;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import java.util.List;

/** Builds job specifications for tests, with defaults for all values that are not set. */
public final class JobSpecBuilder {
  private final int number;
  private String jobClass = "class";
  private String team = "blue";
  private boolean daemon;
  private Priority priority = Priority.NORMAL;
  private int tasks = 1;
  private double cores = 1;
  private double gpus;
  private double estimateS = 10;
  private double checkpointS;
  private boolean oneZone;
  private boolean spread;
  private String zone;
  private boolean spot = true;
  private TimeSpan deadline;

  private JobSpecBuilder(int number) {
    this.number = number;
  }

  /** Returns a builder for the job with this number. */
  public static JobSpecBuilder job(int number) {
    return new JobSpecBuilder(number);
  }

  /** Returns the id of the job with this number. */
  public static String id(int number) {
    return String.format("req-%06d", number);
  }

  /** Sets the job class. */
  public JobSpecBuilder ofClass(String value) {
    jobClass = value;
    return this;
  }

  /** Sets the team. */
  public JobSpecBuilder team(String value) {
    team = value;
    return this;
  }

  /** Makes the job run until it is stopped, as services do. */
  public JobSpecBuilder daemon() {
    daemon = true;
    return this;
  }

  /** Sets the priority. */
  public JobSpecBuilder priority(Priority value) {
    priority = value;
    return this;
  }

  /** Sets the number of tasks. */
  public JobSpecBuilder tasks(int value) {
    tasks = value;
    return this;
  }

  /** Sets the cores of a task. */
  public JobSpecBuilder cores(double value) {
    cores = value;
    return this;
  }

  /** Sets the GPUs of a task. */
  public JobSpecBuilder gpus(double value) {
    gpus = value;
    return this;
  }

  /** Sets the estimated run time in seconds. */
  public JobSpecBuilder estimateS(double value) {
    estimateS = value;
    return this;
  }

  /** Sets the checkpoint interval in seconds. */
  public JobSpecBuilder checkpointS(double value) {
    checkpointS = value;
    return this;
  }

  /** Sets whether all tasks run in one zone. */
  public JobSpecBuilder oneZone(boolean value) {
    oneZone = value;
    return this;
  }

  /** Sets whether tasks are spread over zones. */
  public JobSpecBuilder spread(boolean value) {
    spread = value;
    return this;
  }

  /** Sets the zone. */
  public JobSpecBuilder zone(String value) {
    zone = value;
    return this;
  }

  /** Sets whether spot instances are allowed. */
  public JobSpecBuilder spot(boolean value) {
    spot = value;
    return this;
  }

  /** Sets the deadline in seconds from submission. */
  public JobSpecBuilder deadlineS(double value) {
    deadline = TimeSpan.seconds(value);
    return this;
  }

  /** Builds the job. */
  public JobSpec build() {
    return new JobSpec(
        new JobId(id(number)),
        jobClass,
        team,
        daemon,
        priority,
        tasks,
        new Resources(cores, gpus, cores),
        null,
        zone,
        oneZone,
        spread,
        spot,
        "image-" + number % 3,
        1,
        TimeSpan.seconds(estimateS),
        TimeSpan.seconds(checkpointS),
        TimeSpan.seconds(checkpointS > 0 ? 2 : 0),
        deadline,
        List.of());
  }
}
