package io.saltflow.agreement;

import io.saltflow.protocol.AvroInput;
import io.saltflow.protocol.BadMessage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.io.BinaryEncoder;

/** Entries and names in Avro's binary form, alike in frames and on the disk. */
final class EntryForm {
  private static final int MOST_ENTRIES = 1 << 20;
  private static final int MOST_MEMBERS = 64;
  private static final int NOTHING = 0;
  private static final int DATA = 1;
  private static final int MEMBERS = 2;

  private EntryForm() {}

  static void write(BinaryEncoder out, List<Entry> entries) throws IOException {
    out.writeArrayStart();
    out.setItemCount(entries.size());
    for (Entry e : entries) {
      out.startItem();
      out.writeLong(e.term());
      if (e.members() != null) {
        out.writeIndex(MEMBERS);
        writeTexts(out, e.members());
      } else if (e.data() != null) {
        out.writeIndex(DATA);
        out.writeBytes(e.data());
      } else {
        out.writeIndex(NOTHING);
      }
    }
    out.writeArrayEnd();
  }

  static void writeTexts(BinaryEncoder out, List<String> texts) throws IOException {
    out.writeArrayStart();
    out.setItemCount(texts.size());
    for (String text : texts) {
      out.startItem();
      out.writeString(text);
    }
    out.writeArrayEnd();
  }

  /** Entries of which the first has that index. */
  static List<Entry> read(AvroInput in, long first) throws BadMessage {
    List<Entry> out = new ArrayList<>();
    for (long n = in.firstItems(MOST_ENTRIES);
        n != 0;
        n = in.nextItems(MOST_ENTRIES - out.size())) {
      for (long i = 0; i < n; i++) {
        long index = first + out.size();
        long term = natural(in.number());
        out.add(
            switch (in.index()) {
              case NOTHING -> Entry.of(index, term, null);
              case DATA -> Entry.of(index, term, in.bytes());
              case MEMBERS -> Entry.members(index, term, texts(in));
              default -> throw new BadMessage("an entry of an unknown kind");
            });
      }
    }
    return out;
  }

  static List<String> texts(AvroInput in) throws BadMessage {
    List<String> out = new ArrayList<>();
    for (long n = in.firstItems(MOST_MEMBERS);
        n != 0;
        n = in.nextItems(MOST_MEMBERS - out.size())) {
      for (long i = 0; i < n; i++) {
        out.add(in.text());
      }
    }
    return List.copyOf(out);
  }

  /** Terms, indexes and rounds are never negative, and far from overflowing when one is added. */
  static long natural(long number) throws BadMessage {
    if (number < 0 || number > Long.MAX_VALUE / 4) {
      throw new BadMessage("a number out of range");
    }
    return number;
  }
}
