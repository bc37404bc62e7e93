package io.saltflow.statestore;

import io.saltflow.agreement.GroupFrame;
import io.saltflow.agreement.GroupKey;
import io.saltflow.agreement.Kept;
import io.saltflow.agreement.Message;
import io.saltflow.agreement.Raft;
import io.saltflow.agreement.Ready;
import io.saltflow.journal.Disk;
import io.saltflow.kv.Limits;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpReply;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Mesh;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One node of a group that serves PROTOCOL's state section together: the machine, its disk, the
 * links to the other nodes, and requests that are passed on to whoever leads.
 */
public final class GroupServer extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(GroupServer.class);
  private static final Span TICK = Span.millis(25);
  private static final Span LOOK_EVERY = Span.millis(200);
  private static final Span PART_EVERY = Span.millis(5);
  private static final Span REACH_EVERY = Span.millis(500);
  private static final Span MARK_EVERY = Span.seconds(1);
  private static final Span TRY_AGAIN = Span.millis(500);
  private static final Span PASS_ON = Span.seconds(5);
  private static final int KEYS_A_PART = 500;
  private static final int MOST_PASSED_ON = 256;

  /** Requests that wait may hold so much; one batch of them must fit into a frame. */
  private static final int MOST_WAITING_BYTES = 192 * 1024;

  /** One entry a message: what waits is one batch, and a frame has to hold it. */
  private static final Raft.Pace PACE = new Raft.Pace(Span.seconds(1), Span.millis(100), 0.0005, 1);

  /** In front of a target that another node passes on, which is not passed on again. */
  static final String PASSED_ON = "/passed-on";

  /** What the group's nodes say of themselves. */
  public static final String PATH_STATUS = "/group";

  /** Where a node is reached. */
  public record Place(InetSocketAddress peers, InetSocketAddress clients) {}

  /**
   * A group and the place of this node in it.
   *
   * @param name the group's identity
   * @param nodes the first members, and where each is
   */
  public record Options(
      String name,
      GroupKey key,
      String self,
      Map<String, Place> nodes,
      Limits limits,
      long snapshotBytes) {}

  private final Loop loop;
  private final Options options;
  private final GroupFrame frames;
  private final GroupBooks books;
  private final Writer writer;
  private final Disk disk;
  private final GroupMachine machine;
  private final Mesh mesh;
  private final Map<String, Integer> places = new HashMap<>();
  private final Map<String, HttpClient> others = new TreeMap<>();
  private StateFront front;
  private int waitingBytes;
  private boolean saving;
  private Time saveSince;
  private boolean marked;
  private boolean copying;

  /**
   * Opens what a former process left, and takes part.
   *
   * @param identity of a journal that begins now: random
   * @param random a number below the given one
   */
  public GroupServer(
      Routine parent,
      Loop loop,
      Options options,
      Disk disk,
      long[] identity,
      LongUnaryOperator random)
      throws IOException {
    super(parent);
    this.loop = loop;
    this.options = options;
    this.disk = disk;
    frames = new GroupFrame(options.name(), options.key());
    List<String> members = List.copyOf(new TreeMap<>(options.nodes()).keySet());
    books = opened(disk, members, identity);
    books.notes().forEach(n -> LOG.warn("{}", n));
    Kept kept = books.kept();
    Raft raft = new Raft(options.self(), PACE, kept, random, loop.now());
    try {
      machine =
          new GroupMachine(
              raft, kept, options.limits(), options.snapshotBytes(), new Outside(), loop.now());
    } catch (BadMessage e) {
      throw new IOException("the snapshot is of another version: " + e.getMessage(), e);
    }
    writer = new Writer(loop);
    front = newFront();
    List<InetSocketAddress> siblings = new ArrayList<>();
    for (String name : members) {
      if (!name.equals(options.self())) {
        places.put(name, siblings.size());
        siblings.add(options.nodes().get(name).peers());
        others.put(
            name,
            new HttpClient(
                this, loop, options.nodes().get(name).clients(), MOST_PASSED_ON, MOST_PASSED_ON));
      }
    }
    mesh = new Mesh(this, loop, options.nodes().get(options.self()).peers(), siblings, this::frame);
    loop.every(TICK, this, this::tick);
    loop.every(LOOK_EVERY, this, this::look);
    loop.every(MARK_EVERY, this, this::mark);
    // Followers have nothing to say to each other until the leader is gone, and then at once.
    loop.every(REACH_EVERY, this, mesh::reach);
    mesh.reach();
  }

  private static GroupBooks opened(Disk disk, List<String> members, long[] identity)
      throws IOException {
    try {
      return GroupBooks.open(disk, members, identity);
    } catch (IOException e) {
      Writer.close(disk);
      throw e;
    }
  }

  private StateFront newFront() {
    return new StateFront(this, loop, machine.core(), () -> machine.pump(loop.now()));
  }

  private final class Outside implements GroupMachine.Out {
    @Override
    public void save(Ready.Save save) {
      saving = true;
      marked = false;
      saveSince = loop.now();
      write(save);
    }

    @Override
    public void send(Message message) {
      Integer place = places.get(message.to());
      if (place != null) {
        mesh.send(place, frames.encode(message));
      }
    }

    @Override
    public void replaced() {
      front.refuseWatches();
      front.cancel();
      front = newFront();
    }

    @Override
    public void serves(boolean is) {
      LOG.info(
          is ? "leads and serves, term {}" : "does not lead any more; term {}",
          machine.raft().term());
      waitingBytes = 0;
      if (!is) {
        front.refuseWatches();
      }
    }

    @Override
    public void changed() {
      front.tellWatches();
    }
  }

  private void write(Ready.Save save) {
    writer.run(
        () -> books.save(save),
        failure -> {
          if (failure == null) {
            saving = false;
            machine.saved(loop.now());
          } else if (!cancelled()) {
            // Nothing is sent that rests on it, so others will lead meanwhile.
            LOG.error("nothing can be written down: {}", failure.getMessage());
            loop.after(TRY_AGAIN, this, () -> mend(save));
          }
        });
  }

  private void mend(Ready.Save save) {
    writer.run(
        books::mend,
        failure -> {
          if (failure == null) {
            write(save);
          } else if (!cancelled()) {
            loop.after(TRY_AGAIN, this, () -> mend(save));
          }
        });
  }

  /** What comes while the disk does not answer is as good as lost: it would only pile up. */
  private boolean stuck() {
    return saving && loop.now().since(saveSince).longerThan(PACE.election());
  }

  private void tick() {
    if (!stuck()) {
      machine.tick(loop.now());
    }
  }

  /** Whether a snapshot is due. */
  private void look() {
    if (!copying) {
      part();
    }
  }

  private void part() {
    copying = machine.snapshotPart(KEYS_A_PART, loop.now());
    if (copying) {
      loop.after(PART_EVERY, this, this::part);
    }
  }

  private void mark() {
    if (saving || writer.busy() || marked) {
      return;
    }
    marked = true;
    writer.run(
        books::mark,
        failure -> {
          if (failure != null) {
            LOG.error("a mark could not be written: {}", failure.getMessage());
          }
        });
  }

  private void frame(byte[] bytes) {
    try {
      Message m = frames.decode(bytes);
      if (!stuck()) {
        machine.received(m, loop.now());
      }
    } catch (BadMessage e) {
      LOG.warn("from a stranger: {}", e.getMessage());
    }
  }

  /** Answers a request, here or by the node that leads. */
  public void handle(String method, String target, byte[] body, Consumer<HttpReply> answer) {
    boolean passedOn = target.startsWith(PASSED_ON);
    String wanted = passedOn ? target.substring(PASSED_ON.length()) : target;
    if (wanted.equals(PATH_STATUS)) {
      answer.accept(HttpReply.of(200, MsgPack.encode(status())));
    } else if (!StateFront.serves(wanted)) {
      answer.accept(HttpReply.empty(400));
    } else if (machine.serving()) {
      serve(method, wanted, body, answer);
    } else {
      String leader = machine.raft().leader();
      HttpClient to = passedOn || leader == null ? null : others.get(leader);
      if (to == null) {
        answer.accept(HttpReply.empty(503));
      } else {
        passOn(to, method, wanted, body, answer);
      }
    }
  }

  private void serve(String method, String target, byte[] body, Consumer<HttpReply> answer) {
    if (waitingBytes + body.length > MOST_WAITING_BYTES) {
      answer.accept(HttpReply.empty(503));
      return;
    }
    long term = machine.raft().term();
    waitingBytes += body.length;
    Consumer<HttpReply> told =
        reply -> {
          if (machine.serving() && machine.raft().term() == term) {
            waitingBytes -= body.length;
          }
          answer.accept(reply);
        };
    machine.whenLeading(
        () -> front.handle(method, target, body, told),
        () -> told.accept(HttpReply.empty(503)),
        loop.now());
  }

  private void passOn(
      HttpClient to, String method, String target, byte[] body, Consumer<HttpReply> answer) {
    Span timeout = target.startsWith(Wire.PATH_WATCH) ? Span.seconds(65) : PASS_ON;
    to.call(
        method,
        PASSED_ON + target,
        body,
        timeout,
        a ->
            answer.accept(
                a.status() == 0
                    ? HttpReply.NONE
                    : new HttpReply(a.status(), a.body(), a.retryAfterS())));
  }

  private Body status() {
    Raft raft = machine.raft();
    return Body.of()
        .with("node", options.self())
        .with("role", raft.role().name())
        .with("leader", raft.leader())
        .with("term", raft.term())
        .with("commit", raft.commit())
        .with("members", raft.members())
        .with("keys", (long) machine.core().store().size())
        .with("revision", machine.core().store().epoch());
  }

  /** Whether this node leads and serves. */
  public boolean serving() {
    return machine.serving();
  }

  /** Whether some node is known to lead. */
  public boolean led() {
    return machine.raft().leader() != null;
  }

  @Override
  protected void onCancel() {
    writer.close();
    Writer.close(disk);
  }
}
