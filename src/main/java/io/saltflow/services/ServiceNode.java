package io.saltflow.services;

import io.saltflow.bookkeeping.JobStore;
import io.saltflow.bookkeeping.StateClient;
import io.saltflow.coordination.Authority;
import io.saltflow.protocol.JobSpec;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * What services need of the node that leads.
 *
 * @param neverRuns why no machine will ever run a job, or null
 */
public record ServiceNode(
    Authority authority,
    StateClient state,
    JobStore jobs,
    double valueKb,
    LongSupplier wallMs,
    Function<JobSpec, String> neverRuns,
    Runnable onDeposed) {}
