package io.saltflow.leader;

import io.saltflow.cluster.EventSummary;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.QuotaUsage;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.fencing.TaskReconciler;
import io.saltflow.model.MachineType;
import java.util.Collection;
import java.util.Map;

/**
 * State of the cluster as known to the leader, shared by the parts of the core, which run on one
 * thread.
 *
 * @param policy the operators' settings
 * @param term the term in which this controller leads
 * @param jobs the jobs that have not ended
 * @param machineTypes the machine types that the cloud offers, by name; empty until they are read
 * @param reconciler the machines and the placements of tasks
 * @param estimates the predicted run times
 * @param quotaUsage the teams' usage of their quotas
 * @param eventSummary counts events and conditions for the log
 */
record ClusterState(
    Policy policy,
    LeaderTerm term,
    LiveJobs jobs,
    Map<String, MachineType> machineTypes,
    TaskReconciler reconciler,
    RunTimeEstimates estimates,
    QuotaUsage quotaUsage,
    EventSummary eventSummary) {
  /** Returns all known machines in the order in which they became known. */
  Collection<Machine> machines() {
    return reconciler.machines();
  }
}
