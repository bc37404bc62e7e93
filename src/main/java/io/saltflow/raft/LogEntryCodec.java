package io.saltflow.raft;

import io.saltflow.protocol.AvroInput;
import io.saltflow.protocol.InvalidMessageException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.io.BinaryEncoder;

/** Encodes log entries and member names in Avro's binary encoding, for frames and storage. */
final class LogEntryCodec {
  private static final int MAX_ENTRIES = 1 << 20;
  private static final int MAX_MEMBERS = 64;
  private static final int NO_OP_KIND = 0;
  private static final int COMMAND_KIND = 1;
  private static final int MEMBERSHIP_KIND = 2;

  private LogEntryCodec() {}

  static void write(BinaryEncoder out, List<LogEntry> entries) throws IOException {
    out.writeArrayStart();
    out.setItemCount(entries.size());
    for (LogEntry entry : entries) {
      out.startItem();
      out.writeLong(entry.term());
      if (entry.members() != null) {
        out.writeIndex(MEMBERSHIP_KIND);
        writeStrings(out, entry.members());
      } else if (entry.data() != null) {
        out.writeIndex(COMMAND_KIND);
        out.writeBytes(entry.data());
      } else {
        out.writeIndex(NO_OP_KIND);
      }
    }
    out.writeArrayEnd();
  }

  static void writeStrings(BinaryEncoder out, List<String> texts) throws IOException {
    out.writeArrayStart();
    out.setItemCount(texts.size());
    for (String text : texts) {
      out.startItem();
      out.writeString(text);
    }
    out.writeArrayEnd();
  }

  /** Reads consecutive entries, the first of which has the given index. */
  static List<LogEntry> read(AvroInput in, long firstIndex) throws InvalidMessageException {
    List<LogEntry> entries = new ArrayList<>();
    for (long blockSize = in.readArrayStart(MAX_ENTRIES);
        blockSize != 0;
        blockSize = in.readArrayNext(MAX_ENTRIES - entries.size())) {
      for (long item = 0; item < blockSize; item++) {
        long index = firstIndex + entries.size();
        long term = checkRange(in.readLong());
        entries.add(
            switch (in.readUnionIndex()) {
              case NO_OP_KIND -> LogEntry.noOp(index, term);
              case COMMAND_KIND -> LogEntry.command(index, term, in.readBytes());
              case MEMBERSHIP_KIND -> LogEntry.members(index, term, readStrings(in));
              default -> throw new InvalidMessageException("log entry has an unknown kind");
            });
      }
    }
    return entries;
  }

  static List<String> readStrings(AvroInput in) throws InvalidMessageException {
    List<String> strings = new ArrayList<>();
    for (long blockSize = in.readArrayStart(MAX_MEMBERS);
        blockSize != 0;
        blockSize = in.readArrayNext(MAX_MEMBERS - strings.size())) {
      for (long item = 0; item < blockSize; item++) {
        strings.add(in.readString());
      }
    }
    return List.copyOf(strings);
  }

  /**
   * Returns a term, index, offset or round after checking that it is not negative and that
   * arithmetic on it cannot overflow.
   *
   * @throws InvalidMessageException if it is out of range
   */
  static long checkRange(long number) throws InvalidMessageException {
    if (number < 0 || number > Long.MAX_VALUE / 4) {
      throw new InvalidMessageException("number is out of range");
    }
    return number;
  }
}
