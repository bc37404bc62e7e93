package io.saltflow.dependencies;

import io.saltflow.model.JobId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Graph of live jobs and the jobs that they depend on. From recorded events it derives which jobs
 * may start, which completions have to be read, and which jobs have to be cancelled.
 *
 * <p>A job may start only when the completion of each job that it depends on is known to be
 * recorded. The absence of a live record proves neither completion nor cancellation, so the
 * completion has to be read.
 *
 * <p>Every traversal is iterative and visits a job once, so that a dependency cycle caused by a
 * damaged record neither hangs the process nor overflows the stack. Jobs on a cycle never start,
 * and stay live until their users cancel them.
 */
public final class DependencyGraph {
  /** State of a job whose end is not known. */
  private enum State {
    /** The job has a live record. */
    LIVE,
    /** A live job depends on it, and its own record has not been seen or is gone. */
    UNRESOLVED
  }

  /**
   * A job whose dependencies are all done.
   *
   * @param lastEndMs the wall-clock time at which the last of them ended, in milliseconds
   */
  public record ReleasedJob(JobId job, long lastEndMs) {}

  /**
   * A job that has to be recorded as cancelled.
   *
   * @param cause the cancelled job that it depends on, directly or transitively
   */
  public record PendingCancellation(JobId job, JobId cause) {}

  /** A job and its edges in both directions; edges to dependencies that are done are removed. */
  private static final class Node {
    final JobId id;
    State state = State.UNRESOLVED;
    final Set<JobId> unmetDependencies = new LinkedHashSet<>();
    final Set<JobId> dependents = new LinkedHashSet<>();

    /**
     * Whether the job was released in an earlier term, so that its dependencies are read only for
     * their end times.
     */
    boolean started;

    long lastEndMs = Long.MIN_VALUE;

    /** The cancelled job that causes this one to be cancelled, or {@code null} if there is none. */
    JobId cause;

    Node(JobId id) {
      this.id = id;
    }

    boolean isLive() {
      return state == State.LIVE;
    }

    boolean isToBeCancelled() {
      return cause != null;
    }

    boolean isWaiting() {
      return isLive() && !started && !isToBeCancelled();
    }
  }

  private final Map<JobId, Node> nodes = new LinkedHashMap<>();
  private final Set<JobId> unresolved = new LinkedHashSet<>();
  private final Map<JobId, PendingCancellation> pendingCancellations = new LinkedHashMap<>();
  private final List<ReleasedJob> released = new ArrayList<>();
  private boolean changed;

  /**
   * Adds a job with a live record. Has no effect if the job was added before.
   *
   * @param dependencies the jobs that were not known to be done when this job was admitted
   * @param started whether the record says that the job may start, which implies that all its
   *     dependencies are done
   */
  public void onJobAdded(JobId id, Collection<JobId> dependencies, boolean started) {
    Node node = getOrCreateNode(id);
    if (node.isLive()) {
      return;
    }
    node.state = State.LIVE;
    node.started = started;
    unresolved.remove(id);
    changed = true;
    for (JobId dependencyId : dependencies) {
      Node dependency = getOrCreateNode(dependencyId);
      if (!dependency.isLive()) {
        unresolved.add(dependencyId);
      }
      node.unmetDependencies.add(dependencyId);
      dependency.dependents.add(id);
      if (dependency.isToBeCancelled()) {
        markForCancellation(node, dependency.cause);
      }
    }
    if (node.isToBeCancelled()) {
      markDependentsForCancellation(node);
    } else if (!dependencies.isEmpty() && node.unmetDependencies.isEmpty()) {
      released.add(new ReleasedJob(id, node.lastEndMs));
    }
  }

  /** Handles the recorded completion of a job, which is final. */
  public void onDone(JobId id, long endedMs) {
    Node node = remove(id);
    if (node == null) {
      return;
    }
    for (JobId dependentId : node.dependents) {
      Node dependent = nodes.get(dependentId);
      if (dependent == null || !dependent.unmetDependencies.remove(id)) {
        continue;
      }
      dependent.lastEndMs = Math.max(dependent.lastEndMs, endedMs);
      if (dependent.unmetDependencies.isEmpty()
          && dependent.isLive()
          && !dependent.isToBeCancelled()) {
        released.add(new ReleasedJob(dependentId, dependent.lastEndMs));
      }
    }
  }

  /** Handles the recorded cancellation of a job, which is final and cascades to its dependents. */
  public void onCancelled(JobId id) {
    Node node = remove(id);
    if (node == null) {
      return;
    }
    node.cause = node.isToBeCancelled() ? node.cause : id;
    markDependentsForCancellation(node);
    for (JobId dependentId : node.dependents) {
      Node dependent = nodes.get(dependentId);
      if (dependent != null) {
        dependent.unmetDependencies.remove(id);
      }
    }
  }

  /**
   * Handles the removal of a job's live record. How the job ended is unknown, unless it was marked
   * for cancellation.
   */
  public void onRecordRemoved(JobId id) {
    Node node = nodes.get(id);
    if (node == null || !node.isLive()) {
      return;
    }
    if (node.isToBeCancelled()) {
      // Its dependents are marked for cancellation already, whichever writer recorded its end.
      onCancelled(id);
      return;
    }
    changed = true;
    released.removeIf(job -> job.job().equals(id));
    detach(node);
    if (node.dependents.isEmpty()) {
      nodes.remove(id);
    } else {
      node.state = State.UNRESOLVED;
      unresolved.add(id);
    }
  }

  /** Returns whether the job depends on a live job, in which case it cannot have been started. */
  public boolean dependsOnLiveJob(JobId id) {
    return nodes.containsKey(id) && !liveDependencies(id).isEmpty();
  }

  /** Returns and clears the jobs released since the last call. */
  public List<ReleasedJob> takeReleased() {
    if (released.isEmpty()) {
      return List.of();
    }
    List<ReleasedJob> taken = List.copyOf(released);
    released.clear();
    return taken;
  }

  /** Returns the jobs whose completions must be read because jobs not yet started wait for them. */
  public List<JobId> completionsToRead() {
    return unresolvedDependencies(true);
  }

  /** Returns the jobs whose completions are read only for their end times, for started jobs. */
  public List<JobId> completionsToReadForTimes() {
    return unresolvedDependencies(false);
  }

  private List<JobId> unresolvedDependencies(boolean awaited) {
    List<JobId> unresolvedIds = new ArrayList<>();
    for (JobId id : unresolved) {
      boolean waitedFor = false;
      boolean started = false;
      for (JobId dependentId : nodes.get(id).dependents) {
        Node dependent = nodes.get(dependentId);
        waitedFor |= dependent.isWaiting();
        started |= dependent.isLive() && dependent.started;
      }
      if (awaited ? waitedFor : started && !waitedFor) {
        unresolvedIds.add(id);
      }
    }
    return unresolvedIds;
  }

  /**
   * Returns the jobs to record as cancelled. A job is listed until {@link #onCancelled}, {@link
   * #onRecordRemoved} or {@link #onDone} is called for it.
   */
  public Collection<PendingCancellation> pendingCancellations() {
    return List.copyOf(pendingCancellations.values());
  }

  /** Returns whether the graph changed since the last call, so that ranks must be recomputed. */
  public boolean takeChanged() {
    boolean wasChanged = changed;
    changed = false;
    return wasChanged;
  }

  /** Returns the live jobs that have dependencies or dependents. */
  Collection<JobId> linkedJobs() {
    List<JobId> linkedIds = new ArrayList<>();
    for (Node node : nodes.values()) {
      boolean linked = !node.dependents.isEmpty() || !node.unmetDependencies.isEmpty();
      if (node.isLive() && linked && !node.isToBeCancelled()) {
        linkedIds.add(node.id);
      }
    }
    return linkedIds;
  }

  /** Returns the job's unmet dependencies that are live. */
  List<JobId> liveDependencies(JobId id) {
    List<JobId> live = new ArrayList<>();
    for (JobId dependencyId : nodes.get(id).unmetDependencies) {
      Node dependency = nodes.get(dependencyId);
      if (dependency != null && dependency.isLive()) {
        live.add(dependencyId);
      }
    }
    return live;
  }

  private Node getOrCreateNode(JobId id) {
    return nodes.computeIfAbsent(id, Node::new);
  }

  /** Removes the job, but not the edges of its dependents. */
  private Node remove(JobId id) {
    Node node = nodes.remove(id);
    if (node != null) {
      changed = true;
      unresolved.remove(id);
      pendingCancellations.remove(id);
      released.removeIf(job -> job.job().equals(id));
      detach(node);
    }
    return node;
  }

  /** Removes the job's dependency edges, and unresolved dependencies without other dependents. */
  private void detach(Node node) {
    for (JobId dependencyId : node.unmetDependencies) {
      Node dependency = nodes.get(dependencyId);
      if (dependency != null) {
        dependency.dependents.remove(node.id);
        if (!dependency.isLive() && dependency.dependents.isEmpty()) {
          nodes.remove(dependencyId);
          unresolved.remove(dependencyId);
        }
      }
    }
    node.unmetDependencies.clear();
  }

  /** Marks a waiting job for cancellation; returns whether it was newly marked. */
  private boolean markForCancellation(Node node, JobId cause) {
    if (!node.isWaiting()) {
      return false;
    }
    node.cause = cause;
    pendingCancellations.put(node.id, new PendingCancellation(node.id, cause));
    released.removeIf(job -> job.job().equals(node.id));
    changed = true;
    return true;
  }

  private void markDependentsForCancellation(Node root) {
    Deque<Node> queue = new ArrayDeque<>(List.of(root));
    while (!queue.isEmpty()) {
      Node next = queue.poll();
      for (JobId dependentId : next.dependents) {
        Node dependent = nodes.get(dependentId);
        if (dependent != null && markForCancellation(dependent, root.cause)) {
          queue.add(dependent);
        }
      }
    }
  }

  /** Returns the whole state as text, equal for graphs that behave identically. */
  @Override
  public String toString() {
    Map<JobId, String> nodesById = new TreeMap<>();
    nodes.forEach(
        (id, node) ->
            nodesById.put(
                id,
                node.state
                    + (node.started ? " started" : "")
                    + " "
                    + node.cause
                    + " needs "
                    + node.unmetDependencies));
    return nodesById + " released " + released;
  }
}
