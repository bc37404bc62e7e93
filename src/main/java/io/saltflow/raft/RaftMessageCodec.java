package io.saltflow.raft;

import static io.saltflow.raft.LogEntryCodec.checkRange;

import io.saltflow.protocol.AvroInput;
import io.saltflow.protocol.AvroOutput;
import io.saltflow.protocol.InvalidMessageException;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.apache.avro.io.BinaryEncoder;

/**
 * Encodes the messages of one Raft group as signed frames, in Avro's binary encoding of the schema
 * {@code agreement.avsc}. Not thread-safe.
 *
 * <p>The signature covers the sender, the receiver and the group. It does not prevent replay, as
 * Raft tolerates delayed and duplicated messages.
 */
public final class RaftMessageCodec {
  // Indexes of the records in the schema's union "message".
  private static final int REQUEST_VOTE = 0;
  private static final int REQUEST_VOTE_RESPONSE = 1;
  private static final int APPEND_ENTRIES = 2;
  private static final int APPEND_ENTRIES_RESPONSE = 3;
  private static final int INSTALL_SNAPSHOT = 4;
  private static final int INSTALL_SNAPSHOT_RESPONSE = 5;
  private static final int TIMEOUT_NOW = 6;

  private final String group;
  private final GroupKey key;

  /**
   * Creates the codec of one group.
   *
   * @param group the unique name of the group; frames of other groups are rejected
   * @param key the key that signs and verifies frames
   */
  public RaftMessageCodec(String group, GroupKey key) {
    this.group = group;
    this.key = key;
  }

  /** Returns the signed frame of a message. */
  public byte[] encode(RaftMessage message) {
    byte[] frame =
        AvroOutput.encode(
            out -> {
              out.writeFixed(new byte[GroupKey.MAC_BYTES]);
              out.writeString(group);
              out.writeString(message.from());
              out.writeString(message.to());
              out.writeLong(message.term());
              write(out, message);
            });
    byte[] mac = key.sign(frame, GroupKey.MAC_BYTES);
    System.arraycopy(mac, 0, frame, 0, mac.length);
    return frame;
  }

  private static void write(BinaryEncoder out, RaftMessage message) throws IOException {
    if (message instanceof RaftMessage.RequestVote request) {
      out.writeIndex(REQUEST_VOTE);
      out.writeLong(request.lastLogIndex());
      out.writeLong(request.lastLogTerm());
      out.writeBoolean(request.preVote());
      out.writeBoolean(request.leadershipTransfer());
    } else if (message instanceof RaftMessage.RequestVoteResponse response) {
      out.writeIndex(REQUEST_VOTE_RESPONSE);
      out.writeBoolean(response.granted());
      out.writeBoolean(response.preVote());
    } else if (message instanceof RaftMessage.AppendEntries request) {
      out.writeIndex(APPEND_ENTRIES);
      out.writeLong(request.prevLogIndex());
      out.writeLong(request.prevLogTerm());
      out.writeLong(request.leaderCommit());
      out.writeLong(request.round());
      LogEntryCodec.write(out, request.entries());
    } else if (message instanceof RaftMessage.AppendEntriesResponse response) {
      out.writeIndex(APPEND_ENTRIES_RESPONSE);
      out.writeBoolean(response.success());
      out.writeLong(response.matchIndex());
      out.writeLong(response.round());
    } else if (message instanceof RaftMessage.InstallSnapshot request) {
      out.writeIndex(INSTALL_SNAPSHOT);
      out.writeLong(request.lastIncludedIndex());
      out.writeLong(request.lastIncludedTerm());
      LogEntryCodec.writeStrings(out, request.members());
      out.writeLong(request.offset());
      out.writeBytes(request.data());
      out.writeBoolean(request.done());
      out.writeLong(request.round());
    } else if (message instanceof RaftMessage.InstallSnapshotResponse response) {
      out.writeIndex(INSTALL_SNAPSHOT_RESPONSE);
      out.writeLong(response.lastIncludedIndex());
      out.writeLong(response.offset());
      out.writeLong(response.round());
    } else {
      out.writeIndex(TIMEOUT_NOW);
    }
  }

  /**
   * Verifies and decodes a frame. The signature is checked first, so that no unauthenticated bytes
   * are decoded.
   *
   * @throws InvalidMessageException if the frame is not signed with the group's key, belongs to
   *     another group, or is malformed
   */
  public RaftMessage decode(byte[] frame) throws InvalidMessageException {
    if (frame.length <= GroupKey.MAC_BYTES
        || !key.verify(frame, GroupKey.MAC_BYTES, Arrays.copyOf(frame, GroupKey.MAC_BYTES))) {
      throw new InvalidMessageException("frame is not signed with the group's key");
    }
    return read(Arrays.copyOfRange(frame, GroupKey.MAC_BYTES, frame.length));
  }

  /** Decodes the bytes after the signature. */
  RaftMessage read(byte[] body) throws InvalidMessageException {
    AvroInput in = new AvroInput(body);
    if (!in.readString().equals(group)) {
      throw new InvalidMessageException("frame belongs to another group");
    }
    String from = in.readString();
    String to = in.readString();
    long term = checkRange(in.readLong());
    RaftMessage message =
        switch (in.readUnionIndex()) {
          case REQUEST_VOTE -> readRequestVote(in, from, to, term);
          case REQUEST_VOTE_RESPONSE ->
              new RaftMessage.RequestVoteResponse(
                  from, to, term, in.readBoolean(), in.readBoolean());
          case APPEND_ENTRIES -> readAppendEntries(in, from, to, term);
          case APPEND_ENTRIES_RESPONSE -> readAppendEntriesResponse(in, from, to, term);
          case INSTALL_SNAPSHOT -> readInstallSnapshot(in, from, to, term);
          case INSTALL_SNAPSHOT_RESPONSE -> readInstallSnapshotResponse(in, from, to, term);
          case TIMEOUT_NOW -> new RaftMessage.TimeoutNow(from, to, term);
          default -> throw new InvalidMessageException("frame has an unknown message kind");
        };
    if (!in.atEnd()) {
      throw new InvalidMessageException("frame has extra bytes after its message");
    }
    return message;
  }

  private static RaftMessage readRequestVote(AvroInput in, String from, String to, long term)
      throws InvalidMessageException {
    long lastLogIndex = checkRange(in.readLong());
    long lastLogTerm = checkRange(in.readLong());
    boolean preVote = in.readBoolean();
    boolean leadershipTransfer = in.readBoolean();
    return new RaftMessage.RequestVote(
        from, to, term, lastLogIndex, lastLogTerm, preVote, leadershipTransfer);
  }

  private static RaftMessage readAppendEntries(AvroInput in, String from, String to, long term)
      throws InvalidMessageException {
    long prevLogIndex = checkRange(in.readLong());
    long prevLogTerm = checkRange(in.readLong());
    long leaderCommit = checkRange(in.readLong());
    long round = checkRange(in.readLong());
    List<LogEntry> entries = LogEntryCodec.read(in, prevLogIndex + 1);
    return new RaftMessage.AppendEntries(
        from, to, term, prevLogIndex, prevLogTerm, entries, leaderCommit, round);
  }

  private static RaftMessage readAppendEntriesResponse(
      AvroInput in, String from, String to, long term) throws InvalidMessageException {
    boolean success = in.readBoolean();
    long matchIndex = checkRange(in.readLong());
    long round = checkRange(in.readLong());
    return new RaftMessage.AppendEntriesResponse(from, to, term, success, matchIndex, round);
  }

  private static RaftMessage readInstallSnapshot(AvroInput in, String from, String to, long term)
      throws InvalidMessageException {
    long lastIncludedIndex = checkRange(in.readLong());
    long lastIncludedTerm = checkRange(in.readLong());
    List<String> members = LogEntryCodec.readStrings(in);
    long offset = checkRange(in.readLong());
    byte[] data = in.readBytes();
    boolean done = in.readBoolean();
    long round = checkRange(in.readLong());
    return new RaftMessage.InstallSnapshot(
        from, to, term, lastIncludedIndex, lastIncludedTerm, members, offset, data, done, round);
  }

  private static RaftMessage readInstallSnapshotResponse(
      AvroInput in, String from, String to, long term) throws InvalidMessageException {
    long lastIncludedIndex = checkRange(in.readLong());
    long offset = checkRange(in.readLong());
    long round = checkRange(in.readLong());
    return new RaftMessage.InstallSnapshotResponse(
        from, to, term, lastIncludedIndex, offset, round);
  }
}
