package io.saltflow.agreement;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
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
 * A group of nodes, clients and everything that goes wrong, by one seed: crashes that lose what was
 * not durable, cuts in one direction or both, messages that are lost, doubled, or come minutes
 * late, processes that hang past their lease and go on, clocks of different speeds, slow syncs,
 * snapshots, changes of membership and of leaders.
 */
final class Group {
  private static final double DRIFT = 0.0005;
  private static final int KEYS = 3;

  /** Something that happens at a time. */
  private record Event(double atMs, long order, Runnable what) {}

  private final class Node {
    final String name;
    final double speed;
    Kept kept;
    Raft raft;
    Map<String, String> map = new TreeMap<>();
    long appliedIndex;
    long sinceSnapshot;
    long life;
    double awakeAt;
    boolean saving;
    final Map<Long, ClientOp> waiting = new HashMap<>();
    final Map<Long, ClientOp> readers = new HashMap<>();

    Node(String name, double speed, Kept kept) {
      this.name = name;
      this.speed = speed;
      this.kept = kept;
    }

    Time clock() {
      return new Time((long) (now * speed) + 1_000_000);
    }

    void start() {
      life++;
      raft =
          new Raft(name, pace, kept, n -> random.nextLong(contended ? 25 : n), clock(), mistakes);
      map = decode(kept.snapshot().bytes());
      appliedIndex = kept.snapshot().index();
      waiting.clear();
      readers.clear();
      saving = false;
      tick(life);
    }

    /** How long from now it hangs, or waits for its disk. */
    double busyFor() {
      return Math.max(saving ? 1 : 0, awakeAt - now);
    }

    private void tick(long ofLife) {
      if (life != ofLife || raft == null) {
        return;
      }
      double wait = busyFor();
      if (wait > 0) {
        // A process that hangs does nothing, and then everything late.
        at(wait, () -> tick(ofLife));
        return;
      }
      raft.tick(clock());
      work();
      at(5 + random.nextInt(10), () -> tick(ofLife));
    }

    void crash() {
      raft = null;
      life++;
      waiting.clear();
      readers.clear();
    }

    void receive(Message m) {
      long ofLife = life;
      double wait = busyFor();
      if (wait > 0) {
        at(
            wait,
            () -> {
              if (life == ofLife) {
                receive(m);
              }
            });
      } else if (raft != null) {
        raft.received(m, clock());
        work();
      }
    }

    /** What the node is to do: write down, and once that is durable send, apply, answer. */
    void work() {
      while (raft != null && !saving) {
        Ready r = raft.ready();
        if (r == null) {
          return;
        }
        if (r.save() == null) {
          effects(r);
          continue;
        }
        double takes = random.nextInt(20) == 0 ? 5 + random.nextInt(60) : random.nextInt(4);
        saving = true;
        long ofLife = life;
        at(
            takes,
            () -> {
              if (life == ofLife && raft != null) {
                saving = false;
                keep(r.save());
                raft.saved(clock());
                effects(r);
                work();
              } else if (life == ofLife + 1 && random.nextBoolean()) {
                // It crashed meanwhile: what it was writing may have become durable all the same.
                keep(r.save());
              }
            });
        return;
      }
    }

    private void keep(Ready.Save s) {
      if (s.term() < kept.term()) {
        return;
      }
      List<Entry> entries = new ArrayList<>();
      for (Entry e : kept.entries()) {
        if (e.index() > s.snapshot().index() && e.index() < s.from()) {
          entries.add(e);
        }
      }
      entries.addAll(s.entries());
      kept = new Kept(s.term(), s.vote(), s.snapshot(), entries);
    }

    private void effects(Ready r) {
      if (r.installed() != null) {
        map = decode(r.installed().bytes());
        appliedIndex = r.installed().index();
      }
      r.messages().forEach(m -> send(this, m));
      for (Entry e : r.committed()) {
        apply(e);
      }
      for (Ready.Read read : r.reads()) {
        ClientOp op = readers.remove(read.number());
        if (op != null && appliedIndex >= read.index()) {
          op.answer(map.get(op.key));
        }
      }
    }

    private void apply(Entry e) {
      check(e);
      appliedIndex = e.index();
      if (e.data() != null) {
        String[] kv = new String(e.data(), StandardCharsets.UTF_8).split("=");
        map.put(kv[0], kv[1]);
      }
      ClientOp op = waiting.remove(e.index());
      if (op != null && op.term == e.term()) {
        op.answer(null);
      }
      if (++sinceSnapshot >= 25) {
        sinceSnapshot = 0;
        raft.compacted(appliedIndex, encode(map));
      }
    }
  }

  /** A client's operation on one of the keys. */
  private final class ClientOp {
    final String key;
    final String write;
    final double called;
    long term;
    boolean answered;

    ClientOp(String key, String write) {
      this.key = key;
      this.write = write;
      this.called = now;
      open.add(this);
    }

    void answer(String found) {
      if (!answered) {
        answered = true;
        open.remove(this);
        answers++;
        add(new Linear.Op(write, found, (long) (called * 1000), (long) (now * 1000)));
      }
    }

    void add(Linear.Op op) {
      history.computeIfAbsent(key, k -> new ArrayList<>()).add(op);
    }
  }

  private final SplittableRandom random;
  private final Set<Raft.Mistake> mistakes;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
  private final Map<String, Node> nodes = new TreeMap<>();
  private final Set<String> cuts = new HashSet<>();
  private final Map<Long, String> leaders = new HashMap<>();
  private final Map<Long, String> agreed = new HashMap<>();
  private final Map<String, List<Linear.Op>> history = new TreeMap<>();
  private final Set<ClientOp> open = new HashSet<>();
  private final Raft.Pace pace;
  private final boolean large;

  /** In some lives nodes stand for election at nearly the same time, again and again. */
  private final boolean contended;

  private double now;
  private long order;
  private long lastOp;
  private boolean calm;

  int answers;
  int elections;
  int changes;
  int installs;

  Group(long seed, int size, Set<Raft.Mistake> mistakes) {
    random = new SplittableRandom(seed);
    this.mistakes = mistakes;
    large = random.nextInt(4) == 0;
    contended = random.nextInt(4) == 0;
    int entries = random.nextInt(3) == 0 ? 1 : 64;
    pace = new Raft.Pace(Span.millis(300), Span.millis(60), DRIFT, entries);
    List<String> members = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      members.add("n" + i);
    }
    for (int i = 0; i < size + 1; i++) {
      // One more stands by, and may be taken in.
      List<String> known = i < size ? members : List.of();
      double speed = 1 + (random.nextDouble() * 2 - 1) * DRIFT;
      Node n = new Node("n" + i, speed, Kept.first(known));
      nodes.put(n.name, n);
      n.start();
    }
  }

  private void at(double inMs, Runnable what) {
    events.add(new Event(now + inMs, order++, what));
  }

  /**
   * Runs for so long in the group's time, the last part without faults; what is wrong is thrown.
   */
  void run(double ms) {
    client();
    trouble();
    at(
        ms * 0.8,
        () -> {
          calm = true;
          cuts.clear();
          nodes
              .values()
              .forEach(
                  n -> {
                    n.awakeAt = 0;
                    if (n.raft == null) {
                      n.start();
                    }
                  });
        });
    while (!events.isEmpty() && events.peek().atMs <= ms) {
      Event e = events.poll();
      now = e.atMs;
      e.what.run();
      leaders();
    }
    open.forEach(
        op -> op.add(new Linear.Op(op.write, null, (long) (op.called * 1000), Long.MAX_VALUE)));
    history.forEach(
        (key, ops) -> {
          if (!Linear.ok(ops)) {
            throw new IllegalStateException("not linearizable: " + key + " " + ops);
          }
        });
  }

  // ---- Clients

  private void client() {
    at(
        random.nextInt(40),
        () -> {
          List<Node> up = nodes.values().stream().filter(n -> n.raft != null).toList();
          List<Node> leading = up.stream().filter(n -> n.raft.role() == Raft.Role.LEADER).toList();
          List<Node> asked = leading.isEmpty() ? up : leading;
          if (!asked.isEmpty()) {
            ask(asked.get(random.nextInt(asked.size())));
          }
          client();
        });
  }

  private void ask(Node n) {
    if (n.busyFor() > 0 || open.size() > 6) {
      return;
    }
    String key = "k" + random.nextInt(KEYS);
    if (random.nextBoolean()) {
      String value = "v" + ++lastOp;
      ClientOp op = new ClientOp(key, value);
      long index = n.raft.propose((key + "=" + value).getBytes(StandardCharsets.UTF_8), n.clock());
      if (index == 0) {
        open.remove(op);
      } else {
        op.term = n.raft.term();
        n.waiting.put(index, op);
        giveUp(op);
      }
    } else {
      ClientOp op = new ClientOp(key, null);
      long number = ++lastOp;
      n.readers.put(number, op);
      if (n.raft.read(number, n.clock())) {
        giveUp(op);
      } else {
        n.readers.remove(number);
        open.remove(op);
      }
    }
    n.work();
  }

  /** Nobody waits for ever; the operation may yet happen. */
  private void giveUp(ClientOp op) {
    at(
        2000,
        () -> {
          if (!op.answered && open.remove(op)) {
            op.answered = true;
            op.add(new Linear.Op(op.write, null, (long) (op.called * 1000), Long.MAX_VALUE));
          }
        });
  }

  // ---- Trouble

  private void send(Node from, Message m) {
    if (m instanceof Message.Part) {
      installs++;
    }
    if (!calm && m instanceof Message.Voted v && v.granted() && random.nextInt(6) == 0) {
      // What it has just promised it must still know when it is back.
      at(1, () -> crash(from));
    }
    if (cuts.contains(from.name + m.to()) || (!calm && random.nextInt(40) == 0)) {
      return;
    }
    double delay = 1 + random.nextInt(10);
    if (!calm && random.nextInt(200) == 0) {
      delay = random.nextInt(20_000);
    }
    int copies = random.nextInt(50) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      at(delay + i * random.nextInt(30), () -> nodes.get(m.to()).receive(m));
    }
  }

  private void trouble() {
    at(
        50 + random.nextInt(900),
        () -> {
          if (calm) {
            return;
          }
          List<String> names = List.copyOf(nodes.keySet());
          Node n = nodes.get(names.get(random.nextInt(names.size())));
          Node other = nodes.get(names.get(random.nextInt(names.size())));
          switch (random.nextInt(9)) {
            case 0, 1 -> crash(n);
            case 2 -> n.awakeAt = now + random.nextInt(1500);
            case 3 -> cut(n.name + other.name);
            case 4 -> names.forEach(x -> cut(x + n.name));
            case 5 ->
                names.forEach(
                    x -> {
                      cut(x + n.name);
                      cut(n.name + x);
                    });
            case 6 -> nodes.values().forEach(x -> change(x, other));
            case 7 -> {
              if (n.raft != null && n.busyFor() == 0) {
                n.raft.transfer(other.name, n.clock());
                n.work();
              }
            }
            default -> {
              if (random.nextInt(4) == 0) {
                List.copyOf(nodes.values()).forEach(this::crash);
              }
            }
          }
          trouble();
        });
  }

  private void cut(String link) {
    cuts.add(link);
    at(random.nextInt(2500), () -> cuts.remove(link));
  }

  private void crash(Node n) {
    if (n.raft != null) {
      n.crash();
      // Back at once, before others have noticed, or after a while.
      int away = random.nextBoolean() ? random.nextInt(30) : random.nextInt(1500);
      at(
          away,
          () -> {
            if (n.raft == null) {
              n.start();
            }
          });
    }
  }

  private void change(Node n, Node other) {
    if (n.raft == null || n.busyFor() > 0) {
      return;
    }
    List<String> members = new ArrayList<>(n.raft.members());
    if (!members.remove(other.name)) {
      members.add(other.name);
    }
    if (members.size() >= 2 && n.raft.change(members, n.clock()) > 0) {
      changes++;
    }
    n.work();
  }

  // ---- What must hold

  private void leaders() {
    for (Node n : nodes.values()) {
      if (n.raft != null && n.raft.role() == Raft.Role.LEADER) {
        String before = leaders.putIfAbsent(n.raft.term(), n.name);
        if (before == null) {
          elections++;
        } else if (!before.equals(n.name)) {
          throw new IllegalStateException(
              "two leaders of term " + n.raft.term() + ": " + before + " and " + n.name);
        }
      }
    }
  }

  private void check(Entry e) {
    String text = e.term() + " " + e.members() + " " + Arrays.toString(e.data());
    String before = agreed.putIfAbsent(e.index(), text);
    if (before != null && !before.equals(text)) {
      throw new IllegalStateException(
          "entry " + e.index() + " was applied as " + before + " and as " + text);
    }
  }

  private byte[] encode(Map<String, String> map) {
    String text = String.join(",", map.entrySet().stream().map(Object::toString).toList());
    return (text + "#" + (large ? "x".repeat(150_000) : "")).getBytes(StandardCharsets.UTF_8);
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

  /** How the nodes stand, for whoever looks into a life that went wrong. */
  String dump() {
    StringBuilder out = new StringBuilder();
    for (Node n : nodes.values()) {
      out.append(n.name).append(n.raft == null ? " down" : " " + n.raft.role());
      if (n.raft != null) {
        out.append(" term ").append(n.raft.term()).append(" commit ").append(n.raft.commit());
        out.append(" of ").append(n.raft.members()).append(n.saving ? " saving" : "");
      }
      out.append("; ");
    }
    return out.toString();
  }
}
