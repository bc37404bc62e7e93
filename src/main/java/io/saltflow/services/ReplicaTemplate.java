package io.saltflow.services;

import io.saltflow.model.Resources;

/**
 * The requirements of a service's replicas.
 *
 * @param maxUnavailable how many replicas may be voluntarily disrupted at a time while no rollout
 *     is in progress
 * @param port the first port of the service, or 0 if its replicas cannot be probed
 * @param ports the size of each version's port range. A replica listens on its version's first port
 *     plus its own index. Versions alternate between two ranges, as two of them may share a
 *     machine.
 */
record ReplicaTemplate(
    Resources size, double imageGb, boolean spot, int maxUnavailable, int port, int ports) {
  /** Returns the first port of the range that the serving version does not use. */
  int alternatePort(int serving) {
    return port == 0 || serving != port ? port : port + ports;
  }
}
