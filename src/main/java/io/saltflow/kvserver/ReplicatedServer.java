package io.saltflow.kvserver;

import io.saltflow.kv.KeyValueLimits;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.raft.DurableState;
import io.saltflow.raft.GroupKey;
import io.saltflow.raft.RaftConfig;
import io.saltflow.raft.RaftMessage;
import io.saltflow.raft.RaftMessageCodec;
import io.saltflow.raft.RaftNode;
import io.saltflow.raft.Ready;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.PeerMesh;
import io.saltflow.transport.Routine;
import io.saltflow.wal.StorageDirectory;
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
 * A member of a group that serves the replicated key-value store. Connects the store to its disk,
 * to the other members and to clients, whose requests are forwarded to the leader. Everything
 * except disk writes runs on the event loop's thread.
 */
public final class ReplicatedServer extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicatedServer.class);
  private static final TimeSpan TICK_INTERVAL = TimeSpan.millis(25);
  private static final TimeSpan SNAPSHOT_CHECK_INTERVAL = TimeSpan.millis(200);
  private static final TimeSpan SNAPSHOT_PART_INTERVAL = TimeSpan.millis(5);
  private static final TimeSpan CONNECT_INTERVAL = TimeSpan.millis(500);
  private static final TimeSpan DURABILITY_MARK_INTERVAL = TimeSpan.seconds(1);
  private static final int KEYS_PER_PART = 500;

  /** Limit on the bytes of pending requests: a batch of all of them must fit into a frame. */
  private static final int MAX_PENDING_REQUEST_BYTES = 192 * 1024;

  /** Allows one entry per message, because an entry may be as large as a frame. */
  private static final RaftConfig RAFT_CONFIG =
      new RaftConfig(TimeSpan.seconds(1), TimeSpan.millis(100), 0.0005, 1);

  /** Path of a member's status report. */
  public static final String PATH_STATUS = "/group";

  /** The addresses on which a member receives Raft messages and serves HTTP clients. */
  public record NodeAddresses(InetSocketAddress peerAddress, InetSocketAddress clientAddress) {}

  /**
   * Configuration of the group and of this member.
   *
   * @param name the group's unique name
   * @param key authenticates the members' frames
   * @param self this member's name
   * @param nodes the initial members and their addresses
   * @param limits the request limits
   * @param snapshotBytes number of bytes of applied log entries that triggers a snapshot
   */
  public record Options(
      String name,
      GroupKey key,
      String self,
      Map<String, NodeAddresses> nodes,
      KeyValueLimits limits,
      long snapshotBytes) {}

  private final EventLoop loop;
  private final Options options;
  private final RaftMessageCodec codec;
  private final RaftStateSaver saver;
  private final StorageDirectory directory;
  private final ReplicatedStore store;
  private final PeerMesh mesh;
  private final Map<String, Integer> peerIndexes = new HashMap<>();
  private final LeaderForwarder forwarder;
  private KeyValueServer server;
  private int pendingRequestBytes;
  private boolean writingSnapshot;

  /**
   * Recovers this member's state from disk and joins the group.
   *
   * @param directory this member's data directory
   * @param storeId two random halves of the store's identity, used if a log is created
   * @param random returns a random number between 0 (inclusive) and its argument (exclusive)
   * @throws IOException if the state cannot be recovered
   */
  public ReplicatedServer(
      Routine parent,
      EventLoop loop,
      Options options,
      StorageDirectory directory,
      long[] storeId,
      LongUnaryOperator random)
      throws IOException {
    super(parent);
    this.loop = loop;
    this.options = options;
    this.directory = directory;
    codec = new RaftMessageCodec(options.name(), options.key());
    List<String> members = List.copyOf(new TreeMap<>(options.nodes()).keySet());
    RaftStorage storage = openStorage(directory, members, storeId);
    storage.recoveryNotes().forEach(note -> LOG.warn("{}", note));
    DurableState durableState = storage.state();
    RaftNode raft = new RaftNode(options.self(), RAFT_CONFIG, durableState, random, loop.now());
    try {
      store =
          new ReplicatedStore(
              raft,
              durableState,
              options.limits(),
              options.snapshotBytes(),
              new ServerEffects(),
              loop.now());
    } catch (InvalidMessageException exception) {
      throw new IOException(
          "snapshot was written by an incompatible version: " + exception.getMessage(), exception);
    }
    saver = new RaftStateSaver(this, loop, storage);
    forwarder = new LeaderForwarder(this, loop);
    server = newServer();
    mesh =
        new PeerMesh(
            this,
            loop,
            options.nodes().get(options.self()).peerAddress(),
            addPeers(members),
            this::onFrame);
    startTimers();
  }

  /** Registers the other members and returns their addresses in index order. */
  private List<InetSocketAddress> addPeers(List<String> members) {
    List<InetSocketAddress> peerAddresses = new ArrayList<>();
    for (String name : members) {
      if (!name.equals(options.self())) {
        NodeAddresses addresses = options.nodes().get(name);
        peerIndexes.put(name, peerAddresses.size());
        peerAddresses.add(addresses.peerAddress());
        forwarder.addMember(name, addresses.clientAddress());
      }
    }
    return peerAddresses;
  }

  private void startTimers() {
    loop.scheduleRepeating(TICK_INTERVAL, this, this::tick);
    loop.scheduleRepeating(SNAPSHOT_CHECK_INTERVAL, this, this::checkSnapshot);
    loop.scheduleRepeating(DURABILITY_MARK_INTERVAL, this, saver::writeDurabilityMark);
    // Followers do not communicate with each other until the leader fails, and then need their
    // connections immediately.
    loop.scheduleRepeating(CONNECT_INTERVAL, this, mesh::connectAll);
    mesh.connectAll();
  }

  private static RaftStorage openStorage(
      StorageDirectory directory, List<String> members, long[] storeId) throws IOException {
    try {
      return RaftStorage.open(directory, members, storeId);
    } catch (IOException exception) {
      LogWriterThread.close(directory);
      throw exception;
    }
  }

  private KeyValueServer newServer() {
    return new KeyValueServer(this, loop, store.core(), () -> store.proposeNext(loop.now()));
  }

  private final class ServerEffects implements ReplicatedStore.Effects {
    @Override
    public void save(Ready.Save save) {
      saver.save(save, () -> store.onSaved(loop.now()));
    }

    @Override
    public void send(RaftMessage message) {
      Integer peerIndex = peerIndexes.get(message.to());
      if (peerIndex != null) {
        mesh.send(peerIndex, codec.encode(message));
      }
    }

    @Override
    public void onStoreReplaced() {
      server.rejectWatches();
      server.cancel();
      server = newServer();
    }

    @Override
    public void onServingChanged(boolean isServing) {
      LOG.info(
          isServing ? "serving as leader, term {}" : "no longer leader, term {}",
          store.raft().term());
      pendingRequestBytes = 0;
      if (!isServing) {
        server.rejectWatches();
      }
    }

    @Override
    public void onContentsChanged() {
      server.notifyWatches();
    }
  }

  /**
   * Returns whether a save has stalled. Messages and ticks are then dropped, because they would
   * only queue up behind it.
   */
  private boolean isDiskStalled() {
    return saver.isStalled(RAFT_CONFIG.electionTimeout());
  }

  private void tick() {
    if (!isDiskStalled()) {
      store.tick(loop.now());
    }
  }

  private void checkSnapshot() {
    if (!writingSnapshot) {
      writeSnapshotPart();
    }
  }

  private void writeSnapshotPart() {
    writingSnapshot = store.writeSnapshotPart(KEYS_PER_PART, loop.now());
    if (writingSnapshot) {
      loop.schedule(SNAPSHOT_PART_INTERVAL, this, this::writeSnapshotPart);
    }
  }

  private void onFrame(byte[] bytes) {
    try {
      RaftMessage message = codec.decode(bytes);
      if (!isDiskStalled()) {
        store.receive(message, loop.now());
      }
    } catch (InvalidMessageException exception) {
      LOG.warn("frame from a peer rejected: {}", exception.getMessage());
    }
  }

  /**
   * Handles a client's request, or forwards it to the leader if this member is not the leader.
   *
   * @param replyTo receives the response, which is 503 if no leader is known
   */
  public void handle(String method, String target, byte[] body, Consumer<HttpResponse> replyTo) {
    boolean forwarded = target.startsWith(LeaderForwarder.FORWARDED_PREFIX);
    String path = forwarded ? target.substring(LeaderForwarder.FORWARDED_PREFIX.length()) : target;
    if (path.equals(PATH_STATUS)) {
      replyTo.accept(HttpResponse.of(200, MessagePackCodec.encode(status())));
    } else if (!KeyValueServer.serves(path)) {
      replyTo.accept(HttpResponse.empty(400));
    } else if (store.isServing()) {
      handleAsLeader(method, path, body, replyTo);
    } else {
      String leader = forwarded ? null : store.raft().leader();
      forwarder.forward(leader, method, path, body, replyTo);
    }
  }

  private void handleAsLeader(
      String method, String target, byte[] body, Consumer<HttpResponse> replyTo) {
    if (pendingRequestBytes + body.length > MAX_PENDING_REQUEST_BYTES) {
      replyTo.accept(HttpResponse.empty(503));
      return;
    }
    long term = store.raft().term();
    pendingRequestBytes += body.length;
    Consumer<HttpResponse> releaseAndReply =
        reply -> {
          if (store.isServing() && store.raft().term() == term) {
            pendingRequestBytes -= body.length;
          }
          replyTo.accept(reply);
        };
    store.runAsLeader(
        () -> server.handle(method, target, body, releaseAndReply),
        () -> releaseAndReply.accept(HttpResponse.empty(503)),
        loop.now());
  }

  /** Returns a role's name in the status report, which is part of the wire format. */
  private static String roleInStatus(RaftNode.Role role) {
    return switch (role) {
      case FOLLOWER -> "FOLLOWER";
      case PRE_CANDIDATE -> "CANDIDATE_IN_DOUBT";
      case CANDIDATE -> "CANDIDATE";
      case LEADER -> "LEADER";
    };
  }

  private MessageBody status() {
    RaftNode raft = store.raft();
    return MessageBody.of()
        .with("node", options.self())
        .with("role", roleInStatus(raft.role()))
        .with("leader", raft.leader())
        .with("term", raft.term())
        .with("commit", raft.commitIndex())
        .with("members", raft.members())
        .with("keys", (long) store.core().store().size())
        .with("revision", store.core().store().revision());
  }

  /** Returns whether this member is the leader and serves requests. */
  public boolean isServing() {
    return store.isServing();
  }

  /** Returns whether this member knows a leader. */
  public boolean hasLeader() {
    return store.raft().leader() != null;
  }

  @Override
  protected void onCancel() {
    saver.close();
    LogWriterThread.close(directory);
  }
}
