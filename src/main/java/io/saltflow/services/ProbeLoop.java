package io.saltflow.services;

import io.saltflow.model.TimeSpan;
import io.saltflow.probes.ProbeBatch;
import io.saltflow.probes.ProbeScheduler;
import io.saltflow.probes.ReplicaHealth;
import io.saltflow.probes.ReplicaProbe;
import io.saltflow.protocol.ProbeFrame;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.ReplicaProber;
import io.saltflow.transport.Routine;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/** Probes replicas during a leader's term, in turn from this controller and from its peers. */
final class ProbeLoop extends Routine {
  private static final TimeSpan POLL_INTERVAL = TimeSpan.millis(250);
  private static final ProbeScheduler.Limits LIMITS =
      new ProbeScheduler.Limits(40, TimeSpan.seconds(5), TimeSpan.seconds(3));

  private final EventLoop loop;
  private final ProbeLinks links;
  private final Consumer<ReplicaHealth> onResult;
  private final ProbeScheduler scheduler;

  ProbeLoop(Routine parent, EventLoop loop, ProbeLinks links, Consumer<ReplicaHealth> found) {
    super(parent);
    this.loop = loop;
    this.links = links;
    this.onResult = found;
    scheduler = new ProbeScheduler(LIMITS, loop.now());
  }

  void start() {
    loop.scheduleRepeating(POLL_INTERVAL, this, this::sendDueProbes);
  }

  /** Sets the replicas of a service to probe; an empty list ends its probes. */
  void setTargets(String service, Collection<ReplicaProbe> targets) {
    scheduler.setTargets(service, targets);
  }

  private void sendDueProbes() {
    for (ProbeBatch batch : scheduler.due(links.peers().get(), loop.now())) {
      if (batch.prober().isEmpty()) {
        probeAll(
            loop,
            this,
            links.prober(),
            batch.targets(),
            LIMITS.timeout(),
            t -> onResponse("", batch.batch(), t));
      } else {
        ProbeFrame.ProbeRequest request =
            new ProbeFrame.ProbeRequest(
                batch.prober(),
                links.host(),
                batch.batch(),
                LIMITS.timeout().ms(),
                batch.targets());
        links.send().accept(request.encode());
      }
    }
  }

  /** Handles the results of a batch from a prober, where an empty name means this controller. */
  void onResponse(String prober, long batch, List<Long> times) {
    boolean others = !links.peers().get().isEmpty();
    scheduler.onResponse(prober, batch, times, others).forEach(onResult);
  }

  /**
   * Sends all probes at once and passes the latencies on when the last result is known. If this
   * process stood still meanwhile, the results say nothing about the replicas, and the probes count
   * as not made.
   */
  static void probeAll(
      EventLoop loop,
      Routine owner,
      ReplicaProber prober,
      List<ProbeFrame.ProbeTarget> places,
      TimeSpan timeout,
      Consumer<List<Long>> then) {
    Long[] times = new Long[places.size()];
    int[] remaining = {places.size()};
    TimeSpan pausedBefore = loop.pausedTime();
    for (int i = 0; i < times.length; i++) {
      int index = i;
      prober.probe(
          places.get(i),
          timeout,
          ms -> {
            times[index] = ms;
            if (--remaining[0] == 0 && !owner.cancelled()) {
              if (!loop.pausedTime().equals(pausedBefore)) {
                Arrays.fill(times, ProbeFrame.NOT_PROBED);
              }
              then.accept(Arrays.asList(times));
            }
          });
    }
  }
}
