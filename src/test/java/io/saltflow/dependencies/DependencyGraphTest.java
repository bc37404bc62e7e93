package io.saltflow.dependencies;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.JobId;
import io.saltflow.model.Priority;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests of the dependency graph, with deep and damaged graphs, and of inherited ranks. */
class DependencyGraphTest {
  private static final int CHAIN_LENGTH = 100_000;

  private final DependencyGraph graph = new DependencyGraph();

  private static JobId id(int number) {
    return new JobId(String.format("req-%06d", number));
  }

  private void add(int job, Integer... dependencies) {
    graph.onJobAdded(
        id(job), List.of(dependencies).stream().map(DependencyGraphTest::id).toList(), false);
  }

  private final DependencyRanks.JobAttributes jobs =
      new DependencyRanks.JobAttributes() {
        @Override
        public Priority priority(JobId id) {
          return id.equals(id(3)) ? Priority.HIGH : Priority.LOW;
        }

        @Override
        public long deadlineMs(JobId id) {
          return id.equals(id(3)) ? 100_000 : DependencyRanks.NO_DEADLINE;
        }

        @Override
        public long expectedMs(JobId id) {
          return id.equals(id(2)) ? 30_000 : 10_000;
        }
      };

  @Test
  void jobIsReleasedWithLatestEndOfDependencies() {
    add(1);
    add(2);
    add(3, 1, 2);
    graph.onDone(id(2), 500);
    assertEquals(List.of(), graph.takeReleased());
    graph.onDone(id(1), 400);
    assertEquals(List.of(new DependencyGraph.ReleasedJob(id(3), 500)), graph.takeReleased());
    assertEquals(List.of(), graph.takeReleased());
  }

  @Test
  void unresolvedDependenciesAreReadAndNotTreatedAsDone() {
    add(2, 1);
    assertEquals(List.of(id(1)), graph.completionsToRead());
    add(1);
    assertEquals(List.of(), graph.completionsToRead());
    graph.onRecordRemoved(id(1));
    assertEquals(List.of(id(1)), graph.completionsToRead());
    assertEquals(List.of(), graph.takeReleased());
    assertTrue(graph.pendingCancellations().isEmpty());
  }

  /** Guards against a latest completion derived from the shorter branch of a diamond. */
  @Test
  void ranksArePropagatedAlongCriticalPath() {
    add(0);
    add(1, 0);
    add(2, 0);
    add(3, 1, 2);
    Map<JobId, DependencyRanks.InheritedRank> ranks = DependencyRanks.of(graph, jobs);
    assertEquals(new DependencyRanks.InheritedRank(Priority.HIGH, 100_000), ranks.get(id(3)));
    assertEquals(new DependencyRanks.InheritedRank(Priority.HIGH, 90_000), ranks.get(id(1)));
    assertEquals(new DependencyRanks.InheritedRank(Priority.HIGH, 90_000), ranks.get(id(2)));
    assertEquals(new DependencyRanks.InheritedRank(Priority.HIGH, 60_000), ranks.get(id(0)));
  }

  @Test
  void deepChainIsRankedAndCancelledWithoutRecursion() {
    add(0);
    for (int i = 1; i < CHAIN_LENGTH; i++) {
      add(i, i - 1);
    }
    assertEquals(CHAIN_LENGTH, DependencyRanks.of(graph, jobs).size());
    graph.onRecordRemoved(id(0));
    graph.onCancelled(id(0));
    assertEquals(CHAIN_LENGTH - 1, graph.pendingCancellations().size());
  }

  /** Guards against an endless loop or a release of jobs when a damaged record causes a cycle. */
  @Test
  void cyclicJobsAreNotReleasedAndCanBeCancelled() {
    add(1, 2);
    add(2, 1, 2);
    add(3, 2);
    add(4);
    add(5, 4);
    assertEquals(
        List.of(id(5), id(4)), List.copyOf(DependencyRanks.of(graph, jobs).keySet()).subList(1, 3));
    assertEquals(List.of(), graph.takeReleased());
    graph.onRecordRemoved(id(1));
    graph.onCancelled(id(1));
    assertEquals(2, graph.pendingCancellations().size());
    graph.onRecordRemoved(id(2));
    graph.onRecordRemoved(id(3));
    assertTrue(graph.pendingCancellations().isEmpty());
  }

  /** Guards against unbounded growth of the graph. */
  @Test
  void endedJobsAreRemovedFromGraph() {
    for (int i = 0; i < 100; i += 2) {
      add(i);
      add(i + 1, i);
      graph.onDone(id(i), i);
      graph.onRecordRemoved(id(i + 1));
    }
    add(200, 201);
    graph.onRecordRemoved(id(200));
    assertEquals("{} released []", graph.toString());
  }
}
