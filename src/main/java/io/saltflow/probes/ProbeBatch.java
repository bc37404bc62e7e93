package io.saltflow.probes;

import io.saltflow.protocol.ProbeFrame;
import java.util.List;

/**
 * A batch of probes to send now.
 *
 * @param prober the controller that sends them; empty for the leader itself
 */
public record ProbeBatch(long batch, String prober, List<ReplicaProbe> probes) {
  /** Returns the targets in the order of the probes. */
  public List<ProbeFrame.ProbeTarget> targets() {
    return probes.stream().map(ReplicaProbe::target).toList();
  }
}
