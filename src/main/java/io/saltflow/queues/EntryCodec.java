package io.saltflow.queues;

import io.saltflow.protocol.AvroInput;
import io.saltflow.protocol.InvalidMessageException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;

/**
 * Codec of log entries in Avro's binary encoding with the schema {@code queues.avsc}. It writes
 * each field directly, because parsing the schema would delay startup.
 */
public final class EntryCodec {
  private static final int KEPT = 0;
  private static final int STARTED = 1;
  private static final int RETURNED = 2;
  private static final int ENDED = 3;
  private static final int KNOWN = 4;
  private static final int MAX_ENTRIES = 1_000_000;

  private EntryCodec() {}

  /** Returns an upper bound on the encoded size of an entry, in bytes. */
  static int size(Entry entry) {
    if (entry instanceof Entry.Kept kept) {
      // A character takes up to three bytes, and a number up to ten.
      int characters =
          kept.queue().vhost().length() + kept.queue().name().length() + kept.id().length();
      return 80 + 3 * characters + kept.properties().length + kept.body().length;
    }
    return entry instanceof Entry.Known ? 32 : 24;
  }

  static int size(List<Entry> entries) {
    return entries.stream().mapToInt(EntryCodec::size).sum();
  }

  /** Returns the entries encoded as the array of the schema. */
  public static byte[] encode(List<Entry> entries) {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      BinaryEncoder out = EncoderFactory.get().directBinaryEncoder(bytes, null);
      out.writeArrayStart();
      out.setItemCount(entries.size());
      for (Entry entry : entries) {
        out.startItem();
        write(out, entry);
      }
      out.writeArrayEnd();
      out.flush();
      return bytes.toByteArray();
    } catch (IOException exception) {
      throw new IllegalStateException("cannot encode log entries in memory", exception);
    }
  }

  private static void write(BinaryEncoder out, Entry entry) throws IOException {
    if (entry instanceof Entry.Kept kept) {
      out.writeIndex(KEPT);
      out.writeLong(kept.no().number());
      out.writeString(kept.queue().vhost());
      out.writeString(kept.queue().name());
      out.writeString(kept.id());
      out.writeBoolean(kept.named());
      out.writeLong(kept.arrivedWallMs());
      out.writeLong(kept.expiresWallMs());
      out.writeInt(kept.attempts());
      out.writeBoolean(kept.out());
      out.writeBytes(kept.properties());
      out.writeBytes(kept.body());
    } else if (entry instanceof Entry.Started started) {
      out.writeIndex(STARTED);
      out.writeLong(started.no().number());
      out.writeInt(started.attempt());
    } else if (entry instanceof Entry.Returned returned) {
      out.writeIndex(RETURNED);
      out.writeLong(returned.no().number());
      out.writeInt(returned.attempts());
    } else if (entry instanceof Entry.Ended ended) {
      out.writeIndex(ENDED);
      out.writeLong(ended.no().number());
    } else if (entry instanceof Entry.Known known) {
      out.writeIndex(KNOWN);
      out.writeLong(known.digest().high());
      out.writeLong(known.digest().low());
      out.writeLong(known.wallMs());
    }
  }

  /**
   * Returns the decoded entries of a batch.
   *
   * @throws InvalidMessageException if the bytes are not a valid batch
   */
  public static List<Entry> decode(byte[] bytes) throws InvalidMessageException {
    AvroInput in = new AvroInput(bytes);
    List<Entry> out = new ArrayList<>();
    long items = in.readArrayStart(MAX_ENTRIES);
    while (items != 0) {
      for (long i = 0; i < items; i++) {
        out.add(read(in));
      }
      items = in.readArrayNext(MAX_ENTRIES - out.size());
    }
    if (!in.atEnd()) {
      throw new InvalidMessageException("unexpected bytes after the entries of a batch");
    }
    return out;
  }

  private static Entry read(AvroInput in) throws InvalidMessageException {
    return switch (in.readUnionIndex()) {
      case KEPT ->
          new Entry.Kept(
              new MessageNo(in.readLong()),
              new QueueId(in.readString(), in.readString()),
              in.readString(),
              in.readBoolean(),
              in.readLong(),
              in.readLong(),
              in.readInt(),
              in.readBoolean(),
              in.readBytes(),
              in.readBytes());
      case STARTED -> new Entry.Started(new MessageNo(in.readLong()), in.readInt());
      case RETURNED -> new Entry.Returned(new MessageNo(in.readLong()), in.readInt());
      case ENDED -> new Entry.Ended(new MessageNo(in.readLong()));
      case KNOWN ->
          new Entry.Known(new MessageDigest128(in.readLong(), in.readLong()), in.readLong());
      default -> throw new InvalidMessageException("unknown kind of log entry");
    };
  }
}
