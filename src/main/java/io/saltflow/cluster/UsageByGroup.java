package io.saltflow.cluster;

import io.saltflow.fairshare.ShareGroup;
import io.saltflow.model.Resources;
import java.util.HashMap;
import java.util.Map;

/** Sums the resources used by the tasks of each class and each team. */
final class UsageByGroup {
  /**
   * The number of tasks and the sum of their resources. Counting tasks resets the sum to exactly
   * zero when the last one leaves, despite rounding errors.
   */
  private record GroupUsage(int tasks, Resources size) {
    static final GroupUsage NONE = new GroupUsage(0, Resources.ZERO);

    GroupUsage plus(Resources more) {
      return new GroupUsage(tasks + 1, size.plus(more));
    }

    /** Returns {@code null} when no task is left, so that groups without tasks take no memory. */
    GroupUsage minus(Resources less) {
      return tasks <= 1 ? null : new GroupUsage(tasks - 1, size.minus(less));
    }
  }

  private final Map<ShareGroup, GroupUsage> usageByGroup = new HashMap<>();

  void add(Job job) {
    usageByGroup.merge(
        job.team,
        GroupUsage.NONE.plus(job.spec.size()),
        (sum, ignored) -> sum.plus(job.spec.size()));
    usageByGroup.merge(
        job.jobClass,
        GroupUsage.NONE.plus(job.spec.size()),
        (sum, ignored) -> sum.plus(job.spec.size()));
  }

  void remove(Job job) {
    usageByGroup.computeIfPresent(job.team, (group, sum) -> sum.minus(job.spec.size()));
    usageByGroup.computeIfPresent(job.jobClass, (group, sum) -> sum.minus(job.spec.size()));
  }

  Resources usage(ShareGroup group) {
    GroupUsage sum = usageByGroup.get(group);
    return sum == null ? Resources.ZERO : sum.size;
  }
}
