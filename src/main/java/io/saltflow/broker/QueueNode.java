package io.saltflow.broker;

import io.saltflow.leader.LeaderLease;
import io.saltflow.model.JobSpec;
import io.saltflow.model.TimeSpan;
import io.saltflow.records.JobRepository;
import io.saltflow.store.KeyValueClient;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * The parts of a node that its queues use.
 *
 * @param typesKnown whether the machine types are known
 * @param neverRuns returns why no machine type can run a job, or null; valid only once the machine
 *     types are known
 * @param onDeposed called when a failed write shows that this node no longer leads
 */
public record QueueNode(
    String host,
    LeaderLease authority,
    KeyValueClient state,
    JobRepository jobs,
    double writesPerS,
    TimeSpan skew,
    LongSupplier wallMs,
    BooleanSupplier typesKnown,
    Function<JobSpec, String> neverRuns,
    Runnable onDeposed) {}
