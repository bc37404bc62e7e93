/**
 * Job scheduling with checkpoint-based backfilling after Niu et al.: queue order, head reservation,
 * backfilling, preemption, fair share, placement and replica migrations. The code is deterministic
 * and uses neither sockets nor a clock.
 */
package io.saltflow.scheduler;
