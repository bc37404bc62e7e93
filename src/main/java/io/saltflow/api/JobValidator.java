package io.saltflow.api;

import io.saltflow.cluster.Policy;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MachineType;
import io.saltflow.model.Resources;
import io.saltflow.protocol.Wire;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Validates that a job can run at all, given its team's quota and the available machine types. */
public final class JobValidator {
  private final Map<String, Policy.TeamQuota> teams;
  private final Supplier<Collection<MachineType>> machineTypes;

  /**
   * @param machineTypes returns the currently known types; empty if none are known yet
   */
  public JobValidator(
      Map<String, Policy.TeamQuota> teams, Supplier<Collection<MachineType>> machineTypes) {
    this.teams = teams;
    this.machineTypes = machineTypes;
  }

  /** Returns whether machine types are known, which validation requires. */
  boolean isReady() {
    return !machineTypes.get().isEmpty();
  }

  /**
   * Returns why a submission must be refused, with the wire names of the invalid fields, or {@code
   * null} if it is valid.
   */
  String submissionFault(JobSpec spec) {
    return spec.jobClass().startsWith(Wire.SERVICE_CLASS)
        ? Wire.JOB_CLASS + ": the class of a service, which is set up as such"
        : unsatisfiableReason(spec);
  }

  /**
   * Returns why no machine can ever run a job, with the wire names of the invalid fields, or {@code
   * null} if one can.
   */
  public String unsatisfiableReason(JobSpec spec) {
    Policy.TeamQuota team = teams.get(spec.team());
    if (team == null) {
      return Wire.TEAM + ": unknown team";
    }
    Resources required = spec.daemon() ? spec.size().times(spec.tasks()) : spec.size();
    if ((team.coreLimit() > 0 && required.cores() > team.coreLimit())
        || (team.gpuLimit() > 0 && required.gpus() > team.gpuLimit())) {
      return Wire.CORES + ", " + Wire.GPUS + ": more than the team's limit";
    }
    return placementFault(spec);
  }

  private String placementFault(JobSpec spec) {
    List<MachineType> allowed =
        machineTypes.get().stream().filter(type -> spec.allowsType(type.name())).toList();
    if (allowed.isEmpty()) {
      return Wire.MACHINE_TYPES + ": no such machine type";
    }
    List<MachineType> inZone =
        allowed.stream()
            .filter(type -> spec.zone() == null || type.zones().contains(spec.zone()))
            .toList();
    if (inZone.isEmpty()) {
      return Wire.ZONE + ": no allowed machine type is in that zone";
    }
    return inZone.stream().anyMatch(type -> spec.size().fitsIn(type.size()))
        ? null
        : String.join(", ", Wire.CORES, Wire.GPUS, Wire.MEMORY_GB)
            + ": a task fits no allowed machine type";
  }
}
