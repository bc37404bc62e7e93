package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Span;
import java.util.ArrayList;
import java.util.List;

/** The test world, with the reads and writes that dependent jobs take. */
final class PipelineDay {
  final World world;
  final List<String> broken = new ArrayList<>();

  /** Which part of the recorded cancellations gets no answer. */
  double lost;

  /** A planted mistake: an end that nobody recorded is taken for one that is done. */
  boolean takesGoneForDone;

  PipelineDay(long seed) {
    world = new World(seed, World.policy(Span.millis(World.LEASE)));
  }

  JobId submit(Jobs job, JobId... needs) {
    JobSpec spec = job.build().awaiting(List.of(needs));
    world.submit(spec);
    for (JobId need : needs) {
      if (record(need).cancelledAt >= 0) {
        // What a node does that accepts a job which names a cancelled one.
        world.cancel(spec.id());
      }
    }
    return spec.id();
  }

  World.JobRecord record(JobId id) {
    return world.records.get(id);
  }

  Leader core() {
    return world.lead == null ? null : world.lead.core;
  }

  void run(double seconds) {
    for (long end = world.now + (long) (seconds * 1000); world.now < end; ) {
      world.step();
      boolean served = world.lead != null && world.lead.served() && !world.lead.cut();
      if (served && core() != null) {
        readEnds();
        cancelDependents();
      }
      check();
    }
    assertEquals(List.of(), world.broken);
  }

  private void readEnds() {
    List<JobId> ends = new ArrayList<>(core().pipelines().endsToRead());
    ends.addAll(core().pipelines().endsToReadForTimes());
    for (JobId id : ends) {
      World.JobRecord r = record(id);
      if (takesGoneForDone || r.overAt >= 0) {
        core().doneRead(id, r.overAt, world.time());
      } else if (r.over) {
        core().cancelledRead(id, world.time());
      }
    }
  }

  private void cancelDependents() {
    for (JobId id : core().pipelines().toCancel()) {
      World.JobRecord r = record(id);
      boolean answered = !world.chance(lost);
      if (!r.over) {
        r.over = true;
        r.cancelledAt = world.now;
        world.say(id + " is cancelled with what it needs");
      }
      if (answered) {
        core().cancelledRead(id, world.time());
      }
    }
  }

  /** The rules: too_early and orphaned. */
  private void check() {
    for (World.JobRecord r : world.records.values()) {
      for (JobId each : r.spec.awaits()) {
        World.JobRecord need = record(each);
        boolean done = need.overAt >= 0 && need.ran.cardinality() == need.spec.tasks();
        if (r.startedAt >= 0 && (!done || need.overAt > r.startedAt)) {
          broken.add("too_early: " + r.spec.id() + " at " + r.startedAt);
        }
        boolean late = need.cancelledAt >= 0 && world.now > need.cancelledAt + World.CANCEL;
        if (late && !r.over) {
          broken.add("orphaned: " + r.spec.id() + " at " + world.now);
        }
      }
    }
  }

  void runUntilOver(double mostSeconds) {
    for (double s = 0; s < mostSeconds && !world.allOver(); s += 5) {
      run(5);
    }
    assertTrue(world.allOver(), String.join("\n", world.trace));
    assertEquals(List.of(), broken);
  }

  boolean done(JobId id) {
    return record(id).overAt >= 0;
  }

  boolean cancelled(JobId id) {
    return record(id).cancelledAt >= 0;
  }
}
