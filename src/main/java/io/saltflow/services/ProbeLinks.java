package io.saltflow.services;

import io.saltflow.transport.ReplicaProber;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The means by which a controller probes replicas itself and through its peers.
 *
 * @param host this controller's name
 * @param peers returns the peers that are reachable now and probe on behalf of others
 * @param send sends a frame to all peers; the frame names its addressee
 */
public record ProbeLinks(
    String host, ReplicaProber prober, Supplier<List<String>> peers, Consumer<byte[]> send) {}
