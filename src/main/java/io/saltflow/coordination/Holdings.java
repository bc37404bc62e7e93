package io.saltflow.coordination;

import io.saltflow.protocol.Size;
import io.saltflow.shares.Party;
import java.util.HashMap;
import java.util.Map;

/** What the tasks of each class and of each team take, kept up as they come and go. */
final class Holdings {
  /** So many tasks of so much in all; none at all is exactly nothing, whatever was rounded. */
  private record Sum(int tasks, Size size) {
    static final Sum NONE = new Sum(0, Size.ZERO);

    Sum with(Size more) {
      return new Sum(tasks + 1, size.plus(more));
    }

    /** Null: there is nothing any more, so that parties that are gone take no memory. */
    Sum without(Size less) {
      return tasks <= 1 ? null : new Sum(tasks - 1, size.minus(less));
    }
  }

  private final Map<Party, Sum> sums = new HashMap<>();

  void add(Job job) {
    sums.merge(job.team, Sum.NONE.with(job.spec.size()), (a, b) -> a.with(job.spec.size()));
    sums.merge(job.jobClass, Sum.NONE.with(job.spec.size()), (a, b) -> a.with(job.spec.size()));
  }

  void take(Job job) {
    sums.computeIfPresent(job.team, (p, sum) -> sum.without(job.spec.size()));
    sums.computeIfPresent(job.jobClass, (p, sum) -> sum.without(job.spec.size()));
  }

  Size of(Party party) {
    Sum sum = sums.get(party);
    return sum == null ? Size.ZERO : sum.size;
  }
}
