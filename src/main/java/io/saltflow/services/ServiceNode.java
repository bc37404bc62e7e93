package io.saltflow.services;

import io.saltflow.leader.LeaderLease;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Resources;
import io.saltflow.records.JobRepository;
import io.saltflow.store.KeyValueClient;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Dependencies of {@link ServiceController} on the leader's node.
 *
 * @param unschedulableReason returns why no machine type can ever run a job, or {@code null}
 * @param zones returns the zones of all machine types, in order
 * @param teamLimits returns a team's limit, or {@code null} if there is no such team
 * @param tracer receives the events of rollouts
 */
public record ServiceNode(
    LeaderLease authority,
    KeyValueClient state,
    JobRepository jobs,
    LongSupplier wallMs,
    Function<JobSpec, String> unschedulableReason,
    Supplier<List<String>> zones,
    Function<String, Resources> teamLimits,
    ProbeLinks probes,
    Consumer<RolloutEvent> tracer,
    Runnable onDeposed) {}
