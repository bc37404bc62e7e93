package io.saltflow.probes;

import io.saltflow.protocol.ProbeFrame;

/** The probe target of a replica and the service that it belongs to. */
public record ReplicaProbe(String service, ProbeFrame.ProbeTarget target) {}
