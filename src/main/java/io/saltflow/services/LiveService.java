package io.saltflow.services;

import io.saltflow.coordination.Job;
import io.saltflow.coordination.Leader;
import io.saltflow.gates.Sightings;
import io.saltflow.gates.Truth;
import io.saltflow.gates.Watch;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.rollouts.Machine;
import io.saltflow.rollouts.Plan;
import io.saltflow.rollouts.Rollout;
import io.saltflow.rollouts.Seen;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;

/** A service during a leader's term: its record, and what this leader has seen of it. */
final class LiveService {
  private static final Span WITHOUT_DATA = Span.seconds(60);
  private static final Job.Replicas NONE = new Job.Replicas(0, 0, 0, 0);

  /** A job has room for the service to be made so many times larger, and its surge. */
  private static final int ROOM = 4;

  private static final int LEAST_ROOM = 16;

  private Service service;
  private Sightings sightings = new Sightings();
  private Watch gate;
  private Watch stop;
  private int watchedStep = -1;
  private Watch.Verdict lastVerdict;

  /** A write of its record is under way. */
  boolean writing;

  /** A job of it is being admitted. */
  boolean admitting;

  LiveService(Service service) {
    this.service = service;
  }

  Service service() {
    return service;
  }

  /** The record was replaced. What was seen is forgotten when another roll-out begins. */
  void recorded(Service next) {
    boolean other =
        next.current() != null
            && (service.current() == null
                || next.current().to() != service.current().to()
                || next.version(next.current().to()).generation()
                    != service.version(service.current().to()).generation());
    service = next;
    if (other) {
      sightings = new Sightings();
      watchedStep = -1;
      lastVerdict = null;
    }
  }

  /** Made from the service's name, the version and its generation: whoever admits it, the same. */
  JobId jobOf(Service.Version v) {
    String text = service.name() + "\0" + v.number() + "\0" + v.generation();
    UUID uuid = UUID.nameUUIDFromBytes(text.getBytes(StandardCharsets.UTF_8));
    return JobId.of(uuid.getMostSignificantBits(), uuid.getLeastSignificantBits());
  }

  JobSpec specOf(Service.Version v) {
    return new JobSpec(
        jobOf(v),
        Wire.SERVICE_CLASS + service.name(),
        service.team(),
        true,
        service.priority(),
        Math.max(LEAST_ROOM, ROOM * service.replicas()),
        service.size(),
        null,
        null,
        false,
        false,
        service.spot(),
        v.image(),
        service.imageGb(),
        Span.seconds(0),
        Span.seconds(0),
        Span.seconds(0),
        null);
  }

  Job.Replicas replicas(Leader leader, int version, Time now) {
    Job job = leader.job(jobOf(service.version(version)));
    Span settle = service.current() == null ? Span.millis(0) : service.current().plan().settle();
    return job == null ? NONE : job.replicas(settle, now);
  }

  /** The next record of the roll-out under way, by what is seen now; the same: nothing to do. */
  Rollout next(Leader leader, Time now, long wallMs) {
    Service.Current c = service.current();
    watch(c, now);
    Job.Replicas old = replicas(leader, c.from(), now);
    Job.Replicas fresh = replicas(leader, c.to(), now);
    observe(leader, c, fresh, now);
    lastVerdict = gate.look(sightings, now);
    Seen seen =
        new Seen(
            old.settled(),
            old.unseen(),
            fresh.settled(),
            fresh.unseen(),
            lastVerdict,
            stop == null ? null : stop.look(sightings, now),
            null,
            wallMs);
    return new Machine(c.plan()).next(c.rollout(), seen);
  }

  /** Each step is judged by itself: what lasted during one does not pass the next. */
  private void watch(Service.Current c, Time now) {
    Plan plan = c.plan();
    if (watchedStep != c.rollout().step()) {
      watchedStep = c.rollout().step();
      gate = new Watch(plan.gate(), WITHOUT_DATA);
      stop = plan.stop() == null ? null : new Watch(plan.stop(), WITHOUT_DATA);
      sightings.begun();
    }
    if (c.rollout().phase() == Rollout.Phase.CHECKING) {
      sightings.complete(now);
    }
  }

  private void observe(Leader leader, Service.Current c, Job.Replicas fresh, Time now) {
    Job job = leader.job(jobOf(service.version(c.to())));
    if (job == null) {
      return;
    }
    sightings.ready(fresh.ready(), c.rollout().wantedNew(), now);
    for (Job.End e : job.takeEnds()) {
      sightings.exited(e.cause(), e.failure(), now);
      sightings.restarted(now);
    }
    sightings.forget(now);
  }

  /** Why the gate does not pass now; empty: it passes, or none is looked at. */
  List<String> waitsFor() {
    boolean waits = lastVerdict != null && lastVerdict.truth() != Truth.TRUE;
    return waits ? lastVerdict.reasons() : List.of();
  }
}
