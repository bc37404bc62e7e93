package io.saltflow.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.saltflow.protocol.InvalidMessageException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.DecoderFactory;
import org.junit.jupiter.api.Test;

/** Guards against frames that deviate from the schema and against decoding forged frames. */
class RaftMessageCodecTest {
  private static final byte[] SECRET =
      "a secret of the group's".getBytes(StandardCharsets.US_ASCII);
  private static final RaftMessageCodec CODEC = new RaftMessageCodec("g-1", new GroupKey(SECRET));

  private static final List<RaftMessage> MESSAGES =
      List.of(
          new RaftMessage.RequestVote("a", "b", 7, 30, 6, true, false),
          new RaftMessage.RequestVoteResponse("b", "a", 7, true, true),
          new RaftMessage.AppendEntries(
              "a",
              "c",
              7,
              30,
              6,
              List.of(
                  LogEntry.noOp(31, 7),
                  LogEntry.command(32, 7, new byte[] {1, 2, 3}),
                  LogEntry.members(33, 7, List.of("a", "b", "c", "d"))),
              29,
              12),
          new RaftMessage.AppendEntries("a", "c", 7, 0, 0, List.of(), 0, 13),
          new RaftMessage.AppendEntriesResponse("c", "a", 7, false, 28, 12),
          new RaftMessage.InstallSnapshot(
              "a", "c", 7, 20, 5, List.of("a", "b"), 65536, new byte[] {9, 8}, true, 14),
          new RaftMessage.InstallSnapshotResponse("c", "a", 7, 20, 65538, 14),
          new RaftMessage.TimeoutNow("a", "b", 7));

  /** The schema records of {@link #MESSAGES}, in the same order. */
  private static final List<String> SCHEMA_NAMES =
      List.of(
          "VoteAsked", "Voted", "Append", "Append", "Appended", "Part", "PartTaken", "TakeOver");

  @Test
  void messagesFollowTheAvroSchema() throws IOException, InvalidMessageException {
    try (InputStream in = RaftMessageCodec.class.getResourceAsStream("/agreement.avsc")) {
      Schema schema = new Schema.Parser().parse(in);
      assertEquals(MESSAGES.size(), SCHEMA_NAMES.size());
      for (int i = 0; i < MESSAGES.size(); i++) {
        RaftMessage message = MESSAGES.get(i);
        byte[] frame = CODEC.encode(message);
        RaftMessage decoded = CODEC.decode(frame);
        assertEquals(message.getClass(), decoded.getClass());
        assertArrayEquals(frame, CODEC.encode(decoded));
        GenericRecord record =
            new GenericDatumReader<GenericRecord>(schema)
                .read(null, DecoderFactory.get().binaryDecoder(frame, null));
        assertEquals("g-1", record.get("group").toString());
        assertEquals(message.to(), record.get("to").toString());
        assertEquals(
            SCHEMA_NAMES.get(i), ((GenericRecord) record.get("message")).getSchema().getName());
      }
    }
    RaftMessage.AppendEntries decoded =
        (RaftMessage.AppendEntries) CODEC.decode(CODEC.encode(MESSAGES.get(2)));
    assertEquals(32, decoded.entries().get(1).index());
    assertEquals(List.of("a", "b", "c", "d"), decoded.entries().get(2).members());
  }

  @Test
  void alteredTruncatedAndForeignFramesAreRejected() {
    RaftMessageCodec otherKey =
        new RaftMessageCodec("g-1", new GroupKey(Arrays.copyOf(SECRET, 20)));
    RaftMessageCodec otherGroup = new RaftMessageCodec("g-2", new GroupKey(SECRET));
    for (RaftMessage message : MESSAGES) {
      byte[] frame = CODEC.encode(message);
      for (int i = 0; i < frame.length; i++) {
        byte[] flipped = frame.clone();
        flipped[i] ^= (byte) (1 << (i % 8));
        assertThrows(InvalidMessageException.class, () -> CODEC.decode(flipped));
        byte[] truncated = Arrays.copyOf(frame, i);
        assertThrows(InvalidMessageException.class, () -> CODEC.decode(truncated));
      }
      assertThrows(InvalidMessageException.class, () -> CODEC.decode(otherKey.encode(message)));
      assertThrows(InvalidMessageException.class, () -> CODEC.decode(otherGroup.encode(message)));
    }
    assertThrows(IllegalArgumentException.class, () -> new GroupKey(new byte[15]));
  }

  /** Guards against members that hold the key but run another version or are defective. */
  @Test
  void signedFramesWithOutOfRangeNumbersAreRejected() {
    for (RaftMessage message :
        List.of(
            new RaftMessage.RequestVote("a", "b", -1, 30, 6, true, false),
            new RaftMessage.AppendEntriesResponse("c", "a", 7, true, Long.MAX_VALUE, 12))) {
      byte[] frame = CODEC.encode(message);
      assertThrows(InvalidMessageException.class, () -> CODEC.decode(frame));
    }
  }
}
