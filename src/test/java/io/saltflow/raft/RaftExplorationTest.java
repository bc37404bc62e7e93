package io.saltflow.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Guards against two leaders of one term and two entries committed at one index, by exploring all
 * interleavings of three nodes within bounds on terms, writes, crashes and lost messages. States
 * are reached by replaying their steps and are explored only once.
 */
class RaftExplorationTest {
  private static final List<String> NODES = List.of("a", "b", "c");
  private static final RaftConfig CONFIG =
      new RaftConfig(TimeSpan.seconds(1), TimeSpan.millis(100), 0.0005, 4);

  /** The highest term, the maximum number of each event, and the seeded bugs. */
  private record Bounds(
      int terms, int writes, int crashes, int losses, int timeouts, Set<SeededBug> seededBugs) {}

  /** Three nodes and the messages in flight between them, which each link delivers in order. */
  private static final class ExploredState {
    private final Bounds bounds;
    private final Map<String, RaftNode> nodes = new TreeMap<>();
    private final Map<String, DurableLog> disks = new TreeMap<>();
    private final Map<String, ArrayDeque<RaftMessage>> links = new TreeMap<>();
    private final Map<Long, String> leaders = new HashMap<>();
    private final Map<Long, String> committed = new TreeMap<>();
    private int writes;
    private int crashes;
    private int losses;
    private int timeouts;
    private MonotonicTime now = new MonotonicTime(100_000);

    ExploredState(Bounds bounds) {
      this.bounds = bounds;
      for (String node : NODES) {
        disks.put(node, new DurableLog(NODES));
        start(node);
      }
    }

    private void start(String node) {
      // Saved state survives a crash. The restart takes longer than the election timeout.
      now = now.plus(TimeSpan.seconds(10));
      nodes.put(
          node,
          new RaftNode(node, CONFIG, disks.get(node).state(), bound -> 0, now, bounds.seededBugs));
    }

    /** Returns the names of the events that are possible in this state. */
    List<String> possibleEvents() {
      List<String> possibleEvents = new ArrayList<>();
      links.forEach(
          (link, queue) -> {
            if (!queue.isEmpty()) {
              possibleEvents.add("deliver " + link);
              if (losses < bounds.losses) {
                possibleEvents.add("lose " + link);
              }
            }
          });
      for (String node : NODES) {
        RaftNode raft = nodes.get(node);
        if (raft.role() == RaftNode.Role.LEADER) {
          if (writes < bounds.writes) {
            possibleEvents.add("write " + node);
          }
        } else if (timeouts < bounds.timeouts
            && raft.term() < bounds.terms
            // The nodes are symmetric, so the first timeout is always that of node a.
            && (timeouts > 0 || node.equals("a"))) {
          possibleEvents.add("timeout " + node);
        }
        if (crashes < bounds.crashes) {
          possibleEvents.add("crash " + node);
        }
      }
      return possibleEvents;
    }

    void execute(String event) {
      String[] parts = event.split(" ");
      String target = parts[1];
      switch (parts[0]) {
        case "deliver" -> {
          RaftMessage message = links.get(target).poll();
          nodes.get(message.to()).receive(message, now);
          drainReady(message.to());
        }
        case "lose" -> {
          losses++;
          links.get(target).poll();
        }
        case "timeout" -> {
          timeouts++;
          now = now.plus(TimeSpan.seconds(10));
          nodes.get(target).tick(now);
          drainReady(target);
        }
        case "write" -> {
          nodes.get(target).propose(new byte[] {(byte) ++writes}, now);
          drainReady(target);
        }
        default -> {
          crashes++;
          start(target);
          drainReady(target);
        }
      }
    }

    private void drainReady(String node) {
      RaftNode raft = nodes.get(node);
      for (Ready ready = raft.ready(); ready != null; ready = raft.ready()) {
        if (ready.save() != null) {
          disks.get(node).apply(ready.save());
          raft.onSaved(now);
        }
        for (RaftMessage message : ready.messages()) {
          links
              .computeIfAbsent(message.from() + message.to(), link -> new ArrayDeque<>())
              .add(message);
        }
        for (LogEntry committedEntry : ready.committedEntries()) {
          String entry = committedEntry.term() + ":" + Arrays.toString(committedEntry.data());
          String previous = committed.putIfAbsent(committedEntry.index(), entry);
          if (previous != null && !previous.equals(entry)) {
            throw new IllegalStateException(
                "entry "
                    + committedEntry.index()
                    + " was committed as "
                    + previous
                    + " and as "
                    + entry);
          }
        }
      }
      if (raft.role() == RaftNode.Role.LEADER) {
        String previous = leaders.putIfAbsent(raft.term(), node);
        if (previous != null && !previous.equals(node)) {
          throw new IllegalStateException(
              previous + " and " + node + " are both leaders of term " + raft.term());
        }
      }
    }

    String fingerprint() {
      StringBuilder text = new StringBuilder();
      nodes.values().forEach(raft -> text.append(raft.fingerprint()).append(';'));
      links.forEach(
          (link, queue) -> {
            text.append(link);
            queue.forEach(message -> text.append(describe(message)));
          });
      text.append(writes).append(crashes).append(losses).append(timeouts).append(committed);
      return text.append(leaders).toString();
    }

    /** Describes a message without its round, which affects only leases and reads. */
    private static String describe(RaftMessage message) {
      if (message instanceof RaftMessage.AppendEntries append) {
        List<String> entries = new ArrayList<>();
        append.entries().forEach(e -> entries.add(e.term() + Arrays.toString(e.data())));
        return "A"
            + append.term()
            + ","
            + append.prevLogIndex()
            + ","
            + append.prevLogTerm()
            + entries
            + append.leaderCommit();
      }
      if (message instanceof RaftMessage.AppendEntriesResponse appended) {
        return "R" + appended.term() + appended.success() + appended.matchIndex();
      }
      return message.toString();
    }
  }

  /** The explored states, those with all writes committed, and the steps to a failure if any. */
  private record ExplorationResult(int states, int completed, List<String> failure) {}

  /** The steps to a state, as the last step and the sequence before it. */
  private record StepSequence(StepSequence previous, String event) {
    static ExploredState replay(StepSequence path, Bounds bounds) {
      ExploredState state = new ExploredState(bounds);
      steps(path).forEach(state::execute);
      return state;
    }

    static List<String> steps(StepSequence path) {
      ArrayDeque<String> steps = new ArrayDeque<>();
      for (StepSequence step = path; step != null; step = step.previous) {
        steps.addFirst(step.event);
      }
      return new ArrayList<>(steps);
    }
  }

  /** Returns a 128-bit digest that identifies a state. */
  private static String digest(ExploredState state) {
    try {
      byte[] text = state.fingerprint().getBytes(StandardCharsets.UTF_8);
      byte[] digest = MessageDigest.getInstance("MD5").digest(text);
      return new String(digest, StandardCharsets.ISO_8859_1);
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private static ExplorationResult explore(Bounds bounds, int maxStates) {
    Set<String> visited = new HashSet<>();
    ArrayDeque<StepSequence> frontier = new ArrayDeque<>();
    for (String first : new ExploredState(bounds).possibleEvents()) {
      frontier.add(new StepSequence(null, first));
    }
    int completed = 0;
    while (!frontier.isEmpty() && visited.size() < maxStates) {
      StepSequence path = frontier.pollLast();
      ExploredState state;
      try {
        state = StepSequence.replay(path, bounds);
      } catch (IllegalStateException exception) {
        List<String> steps = StepSequence.steps(path);
        steps.add(exception.getMessage());
        return new ExplorationResult(visited.size(), completed, steps);
      }
      if (visited.add(digest(state))) {
        completed += state.committed.size() >= 1 + bounds.writes ? 1 : 0;
        state.possibleEvents().forEach(event -> frontier.add(new StepSequence(path, event)));
      }
    }
    assertTrue(frontier.isEmpty(), "exploration is incomplete after " + visited.size() + " states");
    return new ExplorationResult(visited.size(), completed, null);
  }

  private static ExplorationResult exploreAndPrint(String title, Bounds bounds, int maxStates) {
    ExplorationResult result = explore(bounds, maxStates);
    System.out.printf(
        "%s: %d states, all writes committed in %d%n", title, result.states, result.completed);
    return result;
  }

  @Test
  void electionSafetyAndStateMachineSafetyHold() {
    Set<SeededBug> none = EnumSet.noneOf(SeededBug.class);
    ExplorationResult twoTerms =
        exploreAndPrint("two terms, a write", new Bounds(2, 1, 0, 0, 2, none), 400_000);
    assertEquals(null, twoTerms.failure);
    ExplorationResult withFaults =
        exploreAndPrint(
            "two writes, a crash, a lost message", new Bounds(1, 2, 1, 1, 1, none), 400_000);
    assertEquals(null, withFaults.failure);
    assertTrue(twoTerms.completed > 0 && withFaults.completed > 0);
  }

  @Test
  void seededBugsAreDetected() {
    for (SeededBug bug : List.of(SeededBug.VOTE_NOT_PERSISTED, SeededBug.VOTE_WITHOUT_LOG_CHECK)) {
      ExplorationResult result = explore(new Bounds(2, 1, 1, 0, 2, EnumSet.of(bug)), 400_000);
      assertNotNull(result.failure, bug + " was not detected in " + result.states + " states");
    }
  }

  /** Explores all states within bounds, given as terms, writes, crashes, losses and timeouts. */
  public static void main(String[] args) {
    int[] numbers = Arrays.stream(args).mapToInt(Integer::parseInt).toArray();
    Bounds bounds =
        new Bounds(
            numbers[0],
            numbers[1],
            numbers[2],
            numbers[3],
            numbers[4],
            EnumSet.noneOf(SeededBug.class));
    ExplorationResult result = exploreAndPrint(Arrays.toString(numbers), bounds, Integer.MAX_VALUE);
    if (result.failure != null) {
      result.failure.forEach(System.out::println);
      System.exit(1);
    }
  }
}
