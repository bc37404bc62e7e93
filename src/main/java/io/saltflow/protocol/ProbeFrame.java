package io.saltflow.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;

/**
 * Between the leader and a sibling that probes for it, in Avro's binary form by the schema {@code
 * probes.avsc}. The frame begins with a length that no text has, so that it is never taken for a
 * {@link Beat}, which begins with one.
 */
public sealed interface ProbeFrame {
  /** More are asked in further frames. */
  int MOST = 64;

  /** In the place of a beat's first length. */
  long MARK = -1;

  /** An answer's time when the replica was reached and did not answer well. */
  long BADLY = -1;

  /** An answer's time when the replica could not be reached, or did not answer in time. */
  long UNREACHED = -2;

  /** An answer's time when the probe was not made. */
  long NOT_MADE = -3;

  /**
   * Where to ask.
   *
   * @param path what to get by HTTP; empty: connecting is all
   */
  record Place(String host, int port, String path) {}

  /** The leader asks a sibling to probe. */
  record Call(String to, String from, long batch, long timeoutMs, List<Place> places)
      implements ProbeFrame {}

  /** The times until the answers came, in milliseconds and in the call's order. */
  record Answers(String to, String from, long batch, List<Long> times) implements ProbeFrame {}

  /** Whether a frame is one of these. */
  static boolean is(byte[] frame) {
    return frame.length > 0 && frame[0] == 1;
  }

  /** The frame's bytes. */
  default byte[] encode() {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      BinaryEncoder out = EncoderFactory.get().directBinaryEncoder(bytes, null);
      out.writeLong(MARK);
      if (this instanceof Call c) {
        out.writeIndex(0);
        head(out, c.to, c.from, c.batch);
        out.writeLong(c.timeoutMs);
        out.writeArrayStart();
        out.setItemCount(c.places.size());
        for (Place p : c.places) {
          out.startItem();
          out.writeString(p.host);
          out.writeInt(p.port);
          out.writeString(p.path);
        }
        out.writeArrayEnd();
      } else if (this instanceof Answers a) {
        out.writeIndex(1);
        head(out, a.to, a.from, a.batch);
        out.writeArrayStart();
        out.setItemCount(a.times.size());
        for (long t : a.times) {
          out.startItem();
          out.writeLong(t);
        }
        out.writeArrayEnd();
      }
      out.flush();
      return bytes.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("encoding in memory failed", e);
    }
  }

  private static void head(BinaryEncoder out, String to, String from, long batch)
      throws IOException {
    out.writeString(to);
    out.writeString(from);
    out.writeLong(batch);
  }

  /** Reads a frame; what is too long or of no known kind is refused. */
  static ProbeFrame decode(byte[] frame) throws BadMessage {
    AvroInput in = new AvroInput(frame);
    if (in.number() != MARK) {
      throw new BadMessage("not a probe's frame");
    }
    int kind = in.index();
    String to = in.text();
    String from = in.text();
    long batch = in.number();
    return switch (kind) {
      case 0 -> new Call(to, from, batch, in.number(), places(in));
      case 1 -> new Answers(to, from, batch, times(in));
      default -> throw new BadMessage("a probe's frame of an unknown kind");
    };
  }

  private static List<Place> places(AvroInput in) throws BadMessage {
    List<Place> out = new ArrayList<>();
    for (long n = in.firstItems(MOST); n != 0; n = in.nextItems(MOST - out.size())) {
      for (long i = 0; i < n; i++) {
        out.add(new Place(in.text(), in.count(), in.text()));
      }
    }
    return out;
  }

  private static List<Long> times(AvroInput in) throws BadMessage {
    List<Long> out = new ArrayList<>();
    for (long n = in.firstItems(MOST); n != 0; n = in.nextItems(MOST - out.size())) {
      for (long i = 0; i < n; i++) {
        out.add(in.number());
      }
    }
    return out;
  }
}
