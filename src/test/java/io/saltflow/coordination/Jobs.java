package io.saltflow.coordination;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import java.util.List;

/** Builds jobs for tests; what a test does not say is plain. */
final class Jobs {
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
  private Span deadline;

  private Jobs(int number) {
    this.number = number;
  }

  static Jobs job(int number) {
    return new Jobs(number);
  }

  static String id(int number) {
    return String.format("req-%06d", number);
  }

  Jobs ofClass(String value) {
    jobClass = value;
    return this;
  }

  Jobs team(String value) {
    team = value;
    return this;
  }

  Jobs daemon() {
    daemon = true;
    return this;
  }

  Jobs priority(Priority value) {
    priority = value;
    return this;
  }

  Jobs tasks(int value) {
    tasks = value;
    return this;
  }

  Jobs cores(double value) {
    cores = value;
    return this;
  }

  Jobs gpus(double value) {
    gpus = value;
    return this;
  }

  Jobs estimateS(double value) {
    estimateS = value;
    return this;
  }

  Jobs checkpointS(double value) {
    checkpointS = value;
    return this;
  }

  Jobs oneZone(boolean value) {
    oneZone = value;
    return this;
  }

  Jobs spread(boolean value) {
    spread = value;
    return this;
  }

  Jobs zone(String value) {
    zone = value;
    return this;
  }

  Jobs spot(boolean value) {
    spot = value;
    return this;
  }

  Jobs deadlineS(double value) {
    deadline = Span.seconds(value);
    return this;
  }

  JobSpec build() {
    return new JobSpec(
        new JobId(id(number)),
        jobClass,
        team,
        daemon,
        priority,
        tasks,
        new Size(cores, gpus, cores),
        null,
        zone,
        oneZone,
        spread,
        spot,
        "image-" + number % 3,
        1,
        Span.seconds(estimateS),
        Span.seconds(checkpointS),
        Span.seconds(checkpointS > 0 ? 2 : 0),
        deadline,
        List.of());
  }
}
