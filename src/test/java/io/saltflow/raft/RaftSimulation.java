package io.saltflow.raft;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A deterministic simulation of a Raft group and its clients for a given seed. It injects crashes
 * that lose unsynced writes, one-way and two-way partitions, lost, duplicated and delayed messages,
 * process pauses longer than a lease, clock drift, slow syncs, snapshots, membership changes and
 * leadership transfers.
 */
final class RaftSimulation {
  private static final double MAX_CLOCK_DRIFT = 0.0005;
  private static final int KEY_COUNT = 3;

  /** An action at a simulated time. */
  private record Event(double atMs, long order, Runnable action) {}

  private final class SimulatedNode {
    final String name;
    final double clockSpeed;
    DurableState durableState;
    RaftNode raft;
    Map<String, String> contents = new TreeMap<>();
    long appliedIndex;
    long appliedSinceSnapshot;
    long incarnation;
    double pausedUntil;
    boolean saving;
    final Map<Long, ClientOperation> pendingWrites = new HashMap<>();
    final Map<Long, ClientOperation> pendingReads = new HashMap<>();

    SimulatedNode(String name, double clockSpeed, DurableState durableState) {
      this.name = name;
      this.clockSpeed = clockSpeed;
      this.durableState = durableState;
    }

    MonotonicTime clock() {
      return new MonotonicTime((long) (now * clockSpeed) + 1_000_000);
    }

    void start() {
      incarnation++;
      raft =
          new RaftNode(
              name,
              config,
              durableState,
              bound -> random.nextLong(collidingElections ? 25 : bound),
              clock(),
              seededBugs);
      contents = decode(durableState.snapshot().data());
      appliedIndex = durableState.snapshot().index();
      pendingWrites.clear();
      pendingReads.clear();
      saving = false;
      tick(incarnation);
    }

    /** Returns the time until the node's pause ends or its disk may be idle, in milliseconds. */
    double remainingBusyMs() {
      return Math.max(saving ? 1 : 0, pausedUntil - now);
    }

    private void tick(long expectedIncarnation) {
      if (incarnation != expectedIncarnation || raft == null) {
        return;
      }
      double busyMs = remainingBusyMs();
      if (busyMs > 0) {
        // A paused process handles its events late.
        schedule(busyMs, () -> tick(expectedIncarnation));
        return;
      }
      raft.tick(clock());
      drainReady();
      schedule(5 + random.nextInt(10), () -> tick(expectedIncarnation));
    }

    void crash() {
      raft = null;
      incarnation++;
      pendingWrites.clear();
      pendingReads.clear();
    }

    void receive(RaftMessage message) {
      long expectedIncarnation = incarnation;
      double busyMs = remainingBusyMs();
      if (busyMs > 0) {
        schedule(
            busyMs,
            () -> {
              if (incarnation == expectedIncarnation) {
                receive(message);
              }
            });
      } else if (raft != null) {
        raft.receive(message, clock());
        drainReady();
      }
    }

    /** Executes the node's output by persisting it and then sending, applying and replying. */
    void drainReady() {
      while (raft != null && !saving) {
        Ready ready = raft.ready();
        if (ready == null) {
          return;
        }
        if (ready.save() == null) {
          handleReady(ready);
          continue;
        }
        double syncMs = random.nextInt(20) == 0 ? 5 + random.nextInt(60) : random.nextInt(4);
        saving = true;
        long expectedIncarnation = incarnation;
        schedule(
            syncMs,
            () -> {
              if (incarnation == expectedIncarnation && raft != null) {
                saving = false;
                persist(ready.save());
                raft.onSaved(clock());
                handleReady(ready);
                drainReady();
              } else if (incarnation == expectedIncarnation + 1 && random.nextBoolean()) {
                // The node crashed during the write, which may still have become durable.
                persist(ready.save());
              }
            });
        return;
      }
    }

    private void persist(Ready.Save save) {
      if (save.term() < durableState.term()) {
        return;
      }
      List<LogEntry> entries = new ArrayList<>();
      for (LogEntry entry : durableState.entries()) {
        if (entry.index() > save.snapshot().index() && entry.index() < save.firstIndex()) {
          entries.add(entry);
        }
      }
      entries.addAll(save.entries());
      durableState = new DurableState(save.term(), save.votedFor(), save.snapshot(), entries);
    }

    private void handleReady(Ready ready) {
      if (ready.installedSnapshot() != null) {
        contents = decode(ready.installedSnapshot().data());
        appliedIndex = ready.installedSnapshot().index();
      }
      ready.messages().forEach(message -> send(this, message));
      for (LogEntry entry : ready.committedEntries()) {
        apply(entry);
      }
      for (Ready.ConfirmedRead read : ready.reads()) {
        ClientOperation operation = pendingReads.remove(read.id());
        if (operation != null && appliedIndex >= read.readIndex()) {
          operation.complete(contents.get(operation.key));
        }
      }
    }

    private void apply(LogEntry entry) {
      checkApplied(entry);
      appliedIndex = entry.index();
      if (entry.data() != null) {
        String[] keyAndValue = new String(entry.data(), StandardCharsets.UTF_8).split("=");
        contents.put(keyAndValue[0], keyAndValue[1]);
      }
      ClientOperation operation = pendingWrites.remove(entry.index());
      if (operation != null && operation.term == entry.term()) {
        operation.complete(null);
      }
      if (++appliedSinceSnapshot >= 25) {
        appliedSinceSnapshot = 0;
        raft.compact(appliedIndex, encode(contents));
      }
    }
  }

  /** A client's read or write of a key. */
  private final class ClientOperation {
    final String key;
    final String write;
    final double calledAt;
    long term;
    boolean completed;

    ClientOperation(String key, String write) {
      this.key = key;
      this.write = write;
      this.calledAt = now;
      openOperations.add(this);
    }

    void complete(String value) {
      if (!completed) {
        completed = true;
        openOperations.remove(this);
        replies++;
        record(
            new LinearizabilityChecker.Operation(
                write, value, (long) (calledAt * 1000), (long) (now * 1000)));
      }
    }

    void record(LinearizabilityChecker.Operation operation) {
      history.computeIfAbsent(key, newKey -> new ArrayList<>()).add(operation);
    }
  }

  private final SplittableRandom random;
  private final Set<SeededBug> seededBugs;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
  private final Map<String, SimulatedNode> nodes = new TreeMap<>();
  private final Set<String> blockedLinks = new HashSet<>();
  private final Map<Long, String> leaderOfTerm = new HashMap<>();
  private final Map<Long, String> appliedEntries = new HashMap<>();
  private final Map<String, List<LinearizabilityChecker.Operation>> history = new TreeMap<>();
  private final Set<ClientOperation> openOperations = new HashSet<>();
  private final RaftConfig config;
  private final boolean largeSnapshots;

  /** Whether election timeouts vary so little that elections often collide. */
  private final boolean collidingElections;

  private double now;
  private long nextEventOrder;
  private long lastOperationId;
  private boolean faultsStopped;

  int replies;
  int elections;
  int membershipChanges;
  int snapshotChunks;

  RaftSimulation(long seed, int size, Set<SeededBug> seededBugs) {
    random = new SplittableRandom(seed);
    this.seededBugs = seededBugs;
    largeSnapshots = random.nextInt(4) == 0;
    collidingElections = random.nextInt(4) == 0;
    int entries = random.nextInt(3) == 0 ? 1 : 64;
    config = new RaftConfig(TimeSpan.millis(300), TimeSpan.millis(60), MAX_CLOCK_DRIFT, entries);
    List<String> members = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      members.add("n" + i);
    }
    for (int i = 0; i < size + 1; i++) {
      // The last node is initially not a member.
      List<String> initialMembers = i < size ? members : List.of();
      double speed = 1 + (random.nextDouble() * 2 - 1) * MAX_CLOCK_DRIFT;
      SimulatedNode node = new SimulatedNode("n" + i, speed, DurableState.initial(initialMembers));
      nodes.put(node.name, node);
      node.start();
    }
  }

  private void schedule(double delayMs, Runnable action) {
    events.add(new Event(now + delayMs, nextEventOrder++, action));
  }

  /**
   * Runs the simulation, with no faults in the last fifth of the time.
   *
   * @param ms the simulated time in milliseconds
   * @throws IllegalStateException if a checked property is violated
   */
  void run(double ms) {
    scheduleClient();
    scheduleFault();
    schedule(
        ms * 0.8,
        () -> {
          faultsStopped = true;
          blockedLinks.clear();
          nodes
              .values()
              .forEach(
                  node -> {
                    node.pausedUntil = 0;
                    if (node.raft == null) {
                      node.start();
                    }
                  });
        });
    while (!events.isEmpty() && events.peek().atMs <= ms) {
      Event event = events.poll();
      now = event.atMs;
      event.action.run();
      checkLeaders();
    }
    openOperations.forEach(
        operation ->
            operation.record(
                new LinearizabilityChecker.Operation(
                    operation.write, null, (long) (operation.calledAt * 1000), Long.MAX_VALUE)));
    history.forEach(
        (key, operations) -> {
          if (!LinearizabilityChecker.isLinearizable(operations)) {
            throw new IllegalStateException(
                "history of " + key + " is not linearizable: " + operations);
          }
        });
  }

  // ---- Clients

  private void scheduleClient() {
    schedule(
        random.nextInt(40),
        () -> {
          List<SimulatedNode> running =
              nodes.values().stream().filter(node -> node.raft != null).toList();
          List<SimulatedNode> leaders =
              running.stream().filter(node -> node.raft.role() == RaftNode.Role.LEADER).toList();
          List<SimulatedNode> candidates = leaders.isEmpty() ? running : leaders;
          if (!candidates.isEmpty()) {
            issueOperation(candidates.get(random.nextInt(candidates.size())));
          }
          scheduleClient();
        });
  }

  private void issueOperation(SimulatedNode node) {
    if (node.remainingBusyMs() > 0 || openOperations.size() > 6) {
      return;
    }
    String key = "k" + random.nextInt(KEY_COUNT);
    if (random.nextBoolean()) {
      String value = "v" + ++lastOperationId;
      ClientOperation operation = new ClientOperation(key, value);
      long index =
          node.raft.propose((key + "=" + value).getBytes(StandardCharsets.UTF_8), node.clock());
      if (index == 0) {
        openOperations.remove(operation);
      } else {
        operation.term = node.raft.term();
        node.pendingWrites.put(index, operation);
        scheduleClientTimeout(operation);
      }
    } else {
      ClientOperation operation = new ClientOperation(key, null);
      long readId = ++lastOperationId;
      node.pendingReads.put(readId, operation);
      if (node.raft.requestRead(readId, node.clock())) {
        scheduleClientTimeout(operation);
      } else {
        node.pendingReads.remove(readId);
        openOperations.remove(operation);
      }
    }
    node.drainReady();
  }

  /** Schedules the client's timeout, after which the operation may still be executed. */
  private void scheduleClientTimeout(ClientOperation operation) {
    schedule(
        2000,
        () -> {
          if (!operation.completed && openOperations.remove(operation)) {
            operation.completed = true;
            operation.record(
                new LinearizabilityChecker.Operation(
                    operation.write, null, (long) (operation.calledAt * 1000), Long.MAX_VALUE));
          }
        });
  }

  // ---- Faults

  private void send(SimulatedNode from, RaftMessage message) {
    if (message instanceof RaftMessage.InstallSnapshot) {
      snapshotChunks++;
    }
    if (!faultsStopped
        && message instanceof RaftMessage.RequestVoteResponse response
        && response.granted()
        && random.nextInt(6) == 0) {
      // A crash right after voting checks that the vote was persisted.
      schedule(1, () -> crash(from));
    }
    if (blockedLinks.contains(from.name + message.to())
        || (!faultsStopped && random.nextInt(40) == 0)) {
      return;
    }
    double delay = 1 + random.nextInt(10);
    if (!faultsStopped && random.nextInt(200) == 0) {
      delay = random.nextInt(20_000);
    }
    int copies = random.nextInt(50) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      schedule(delay + i * random.nextInt(30), () -> nodes.get(message.to()).receive(message));
    }
  }

  private void scheduleFault() {
    schedule(
        50 + random.nextInt(900),
        () -> {
          if (faultsStopped) {
            return;
          }
          List<String> names = List.copyOf(nodes.keySet());
          SimulatedNode node = nodes.get(names.get(random.nextInt(names.size())));
          SimulatedNode other = nodes.get(names.get(random.nextInt(names.size())));
          switch (random.nextInt(9)) {
            case 0, 1 -> crash(node);
            case 2 -> node.pausedUntil = now + random.nextInt(1500);
            case 3 -> blockLink(node.name + other.name);
            case 4 -> names.forEach(peer -> blockLink(peer + node.name));
            case 5 ->
                names.forEach(
                    peer -> {
                      blockLink(peer + node.name);
                      blockLink(node.name + peer);
                    });
            case 6 -> nodes.values().forEach(peer -> changeMembers(peer, other));
            case 7 -> {
              if (node.raft != null && node.remainingBusyMs() == 0) {
                node.raft.transferLeadership(other.name, node.clock());
                node.drainReady();
              }
            }
            default -> {
              if (random.nextInt(4) == 0) {
                List.copyOf(nodes.values()).forEach(this::crash);
              }
            }
          }
          scheduleFault();
        });
  }

  private void blockLink(String link) {
    blockedLinks.add(link);
    schedule(random.nextInt(2500), () -> blockedLinks.remove(link));
  }

  private void crash(SimulatedNode node) {
    if (node.raft != null) {
      node.crash();
      // Half of the restarts are too fast for the other nodes to notice the crash.
      int downtimeMs = random.nextBoolean() ? random.nextInt(30) : random.nextInt(1500);
      schedule(
          downtimeMs,
          () -> {
            if (node.raft == null) {
              node.start();
            }
          });
    }
  }

  private void changeMembers(SimulatedNode node, SimulatedNode other) {
    if (node.raft == null || node.remainingBusyMs() > 0) {
      return;
    }
    List<String> members = new ArrayList<>(node.raft.members());
    if (!members.remove(other.name)) {
      members.add(other.name);
    }
    if (members.size() >= 2 && node.raft.changeMembers(members, node.clock()) > 0) {
      membershipChanges++;
    }
    node.drainReady();
  }

  // ---- Checked properties

  private void checkLeaders() {
    for (SimulatedNode node : nodes.values()) {
      if (node.raft != null && node.raft.role() == RaftNode.Role.LEADER) {
        String previous = leaderOfTerm.putIfAbsent(node.raft.term(), node.name);
        if (previous == null) {
          elections++;
        } else if (!previous.equals(node.name)) {
          throw new IllegalStateException(
              "two leaders of term " + node.raft.term() + ": " + previous + " and " + node.name);
        }
      }
    }
  }

  private void checkApplied(LogEntry entry) {
    String text = entry.term() + " " + entry.members() + " " + Arrays.toString(entry.data());
    String previous = appliedEntries.putIfAbsent(entry.index(), text);
    if (previous != null && !previous.equals(text)) {
      throw new IllegalStateException(
          "entry " + entry.index() + " was applied as " + previous + " and as " + text);
    }
  }

  private byte[] encode(Map<String, String> map) {
    String text = String.join(",", map.entrySet().stream().map(Object::toString).toList());
    return (text + "#" + (largeSnapshots ? "x".repeat(150_000) : ""))
        .getBytes(StandardCharsets.UTF_8);
  }

  private static Map<String, String> decode(byte[] bytes) {
    Map<String, String> map = new TreeMap<>();
    String text = new String(bytes, StandardCharsets.UTF_8);
    int end = Math.max(0, text.indexOf('#'));
    for (String pair : text.substring(0, end).split(",")) {
      if (pair.contains("=")) {
        map.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
      }
    }
    return map;
  }

  /** Returns a description of the nodes for investigating a failed run. */
  String describe() {
    StringBuilder out = new StringBuilder();
    for (SimulatedNode node : nodes.values()) {
      out.append(node.name).append(node.raft == null ? " down" : " " + node.raft.role());
      if (node.raft != null) {
        out.append(" term ")
            .append(node.raft.term())
            .append(" commit ")
            .append(node.raft.commitIndex());
        out.append(" of ").append(node.raft.members()).append(node.saving ? " saving" : "");
      }
      out.append("; ");
    }
    return out.toString();
  }
}
