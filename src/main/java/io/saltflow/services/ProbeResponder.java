package io.saltflow.services;

import io.saltflow.model.RateLimiter;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.ProbeFrame;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.List;

/**
 * Probes replicas on behalf of the leader on another controller. Probes beyond this controller's
 * rate are reported as not made, and timeouts are bounded.
 */
public final class ProbeResponder extends Routine {
  private static final double MAX_PROBES_PER_S = 40;
  private static final TimeSpan MAX_TIMEOUT = TimeSpan.seconds(5);

  private final EventLoop loop;
  private final ProbeLinks links;
  private final RateLimiter rateLimiter;

  /** Creates a responder that is cancelled with its parent. */
  public ProbeResponder(Routine parent, EventLoop loop, ProbeLinks links) {
    super(parent);
    this.loop = loop;
    this.links = links;
    rateLimiter = new RateLimiter(MAX_PROBES_PER_S, 2.0 * ProbeFrame.MAX_TARGETS, loop.now());
  }

  /** Handles a probe request that the leader sent to this controller. */
  public void onRequest(ProbeFrame.ProbeRequest call) {
    List<ProbeFrame.ProbeTarget> places = call.targets();
    if (places.isEmpty() || !rateLimiter.tryAcquire(places.size(), loop.now())) {
      respond(call, places.stream().map(p -> ProbeFrame.NOT_PROBED).toList());
      return;
    }
    TimeSpan timeout = TimeSpan.millis(Math.max(1, Math.min(MAX_TIMEOUT.ms(), call.timeoutMs())));
    ProbeLoop.probeAll(loop, this, links.prober(), places, timeout, times -> respond(call, times));
  }

  private void respond(ProbeFrame.ProbeRequest call, List<Long> times) {
    links
        .send()
        .accept(
            new ProbeFrame.ProbeResponse(call.from(), links.host(), call.batch(), times).encode());
  }
}
