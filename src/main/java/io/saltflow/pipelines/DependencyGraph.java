package io.saltflow.pipelines;

import io.saltflow.protocol.JobId;
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
 * The jobs that a leader knows to be live and the jobs that they need. It is told what is recorded
 * and says what follows from it: which jobs may start, which ends have to be read, and which jobs
 * have to be cancelled.
 *
 * <p>A job may start only when the end of each job that it needs is known to be recorded as done.
 * That a job's live record is gone proves neither that it is done nor that it was cancelled: its
 * end is read.
 *
 * <p>Every walk is iterative and visits a job once, so that a record that was damaged so that jobs
 * need each other in a circle neither hangs the process nor overflows its stack. Such jobs never
 * start, and are live until their users cancel them.
 */
public final class DependencyGraph {
  /** What is known of a job that is not over. */
  private enum State {
    /** It has a live record. */
    LIVE,
    /** A live job names it; its own record has not been seen, or is gone. */
    UNRESOLVED
  }

  /**
   * Every job that it needs is done.
   *
   * @param lastEndMs the time of day at which the last of them ended
   */
  public record Released(JobId job, long lastEndMs) {}

  /**
   * A job that has to be recorded as cancelled.
   *
   * @param cause the cancelled job that it needs, directly or through others
   */
  public record Doomed(JobId job, JobId cause) {}

  /** One job and its edges in both directions; needs that are done are removed from it. */
  private static final class Node {
    final JobId id;
    State state = State.UNRESOLVED;
    final Set<JobId> openNeeds = new LinkedHashSet<>();
    final Set<JobId> dependents = new LinkedHashSet<>();

    /** It was released by a former leader: its needs are read only for the times of their ends. */
    boolean started;

    long lastEndMs = Long.MIN_VALUE;

    /** The cancelled job because of which it is to be cancelled; null: there is none. */
    JobId cause;

    Node(JobId id) {
      this.id = id;
    }

    boolean live() {
      return state == State.LIVE;
    }

    boolean doomed() {
      return cause != null;
    }

    boolean waits() {
      return live() && !started && !doomed();
    }
  }

  private final Map<JobId, Node> nodes = new LinkedHashMap<>();
  private final Set<JobId> unresolved = new LinkedHashSet<>();
  private final Map<JobId, Doomed> doomed = new LinkedHashMap<>();
  private final List<Released> released = new ArrayList<>();
  private boolean changed;

  /**
   * A live record was found. Repeating it changes nothing.
   *
   * @param needs the jobs that were not known to be done when it was accepted
   * @param started a former leader recorded that it may be started, so all that it needs is done
   */
  public void added(JobId id, Collection<JobId> needs, boolean started) {
    Node node = node(id);
    if (node.live()) {
      return;
    }
    node.state = State.LIVE;
    node.started = started;
    unresolved.remove(id);
    changed = true;
    for (JobId need : needs) {
      Node needed = node(need);
      if (!needed.live()) {
        unresolved.add(need);
      }
      node.openNeeds.add(need);
      needed.dependents.add(id);
      if (needed.doomed()) {
        doom(node, needed.cause);
      }
    }
    if (node.doomed()) {
      doomDependents(node);
    } else if (!needs.isEmpty() && node.openNeeds.isEmpty()) {
      released.add(new Released(id, node.lastEndMs));
    }
  }

  /** Its end is recorded: it is done, for ever. */
  public void done(JobId id, long endedMs) {
    Node node = remove(id);
    if (node == null) {
      return;
    }
    for (JobId each : node.dependents) {
      Node dependent = nodes.get(each);
      if (dependent == null || !dependent.openNeeds.remove(id)) {
        continue;
      }
      dependent.lastEndMs = Math.max(dependent.lastEndMs, endedMs);
      if (dependent.openNeeds.isEmpty() && dependent.live() && !dependent.doomed()) {
        released.add(new Released(each, dependent.lastEndMs));
      }
    }
  }

  /** Its end is recorded: it is cancelled, for ever, and so is all that needs it before long. */
  public void cancelled(JobId id) {
    Node node = remove(id);
    if (node == null) {
      return;
    }
    node.cause = node.doomed() ? node.cause : id;
    doomDependents(node);
    for (JobId each : node.dependents) {
      Node dependent = nodes.get(each);
      if (dependent != null) {
        dependent.openNeeds.remove(id);
      }
    }
  }

  /** Its live record is gone. How it ended is not known, unless it was to be cancelled anyway. */
  public void gone(JobId id) {
    Node node = nodes.get(id);
    if (node == null || !node.live()) {
      return;
    }
    if (node.doomed()) {
      // Whoever recorded its end, all that needs it is to be cancelled already.
      cancelled(id);
      return;
    }
    changed = true;
    released.removeIf(r -> r.job().equals(id));
    detach(node);
    if (node.dependents.isEmpty()) {
      nodes.remove(id);
    } else {
      node.state = State.UNRESOLVED;
      unresolved.add(id);
    }
  }

  /** Whether a job that it needs is live: then it can't have been started by anybody. */
  public boolean needsLiveJob(JobId id) {
    return nodes.containsKey(id) && !liveNeeds(id).isEmpty();
  }

  /** Jobs whose needs are all recorded as done since this was last asked. */
  public List<Released> takeReleased() {
    if (released.isEmpty()) {
      return List.of();
    }
    List<Released> out = List.copyOf(released);
    released.clear();
    return out;
  }

  /** Jobs whose ends must be read: a job that has not started waits for each. */
  public List<JobId> toRead() {
    return unresolvedNeeds(true);
  }

  /** Jobs whose ends are read only to learn from when the times of started jobs count. */
  public List<JobId> toReadForTimes() {
    return unresolvedNeeds(false);
  }

  private List<JobId> unresolvedNeeds(boolean awaited) {
    List<JobId> out = new ArrayList<>();
    for (JobId id : unresolved) {
      boolean waitedFor = false;
      boolean started = false;
      for (JobId each : nodes.get(id).dependents) {
        Node dependent = nodes.get(each);
        waitedFor |= dependent.waits();
        started |= dependent.live() && dependent.started;
      }
      if (awaited ? waitedFor : started && !waitedFor) {
        out.add(id);
      }
    }
    return out;
  }

  /** Jobs to record as cancelled, until {@link #cancelled}, {@link #gone} or {@link #done}. */
  public Collection<Doomed> toCancel() {
    return List.copyOf(doomed.values());
  }

  /** Whether anything was added or removed since this was last asked: ranks are computed anew. */
  public boolean takeChanged() {
    boolean was = changed;
    changed = false;
    return was;
  }

  /** Live jobs that depend on others or that others depend on. */
  Collection<JobId> linked() {
    List<JobId> out = new ArrayList<>();
    for (Node node : nodes.values()) {
      boolean linked = !node.dependents.isEmpty() || !node.openNeeds.isEmpty();
      if (node.live() && linked && !node.doomed()) {
        out.add(node.id);
      }
    }
    return out;
  }

  /** What the job still needs, as far as that is live. */
  List<JobId> liveNeeds(JobId id) {
    List<JobId> out = new ArrayList<>();
    for (JobId need : nodes.get(id).openNeeds) {
      Node needed = nodes.get(need);
      if (needed != null && needed.live()) {
        out.add(need);
      }
    }
    return out;
  }

  private Node node(JobId id) {
    return nodes.computeIfAbsent(id, Node::new);
  }

  /** Takes the job out; those that need it still name it. */
  private Node remove(JobId id) {
    Node node = nodes.remove(id);
    if (node != null) {
      changed = true;
      unresolved.remove(id);
      doomed.remove(id);
      released.removeIf(r -> r.job().equals(id));
      detach(node);
    }
    return node;
  }

  /** The job needs nothing any more; needs that only it named are forgotten. */
  private void detach(Node node) {
    for (JobId need : node.openNeeds) {
      Node needed = nodes.get(need);
      if (needed != null) {
        needed.dependents.remove(node.id);
        if (!needed.live() && needed.dependents.isEmpty()) {
          nodes.remove(need);
          unresolved.remove(need);
        }
      }
    }
    node.openNeeds.clear();
  }

  /** True: it was not doomed before. */
  private boolean doom(Node node, JobId cause) {
    if (!node.waits()) {
      return false;
    }
    node.cause = cause;
    doomed.put(node.id, new Doomed(node.id, cause));
    released.removeIf(r -> r.job().equals(node.id));
    changed = true;
    return true;
  }

  private void doomDependents(Node root) {
    Deque<Node> open = new ArrayDeque<>(List.of(root));
    while (!open.isEmpty()) {
      Node next = open.poll();
      for (JobId each : next.dependents) {
        Node dependent = nodes.get(each);
        if (dependent != null && doom(dependent, root.cause)) {
          open.add(dependent);
        }
      }
    }
  }

  /** All that it knows, the same for graphs that behave alike. */
  @Override
  public String toString() {
    Map<JobId, String> told = new TreeMap<>();
    nodes.forEach(
        (id, n) ->
            told.put(
                id,
                n.state + (n.started ? " started" : "") + " " + n.cause + " needs " + n.openNeeds));
    return told + " released " + released;
  }
}
