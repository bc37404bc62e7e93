package io.saltflow.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;

/**
 * A probe message between the leader and a peer, in Avro's binary encoding with the schema {@code
 * probes.avsc}. It starts with a negative length, so that it cannot be mistaken for a {@link
 * PeerHeartbeat}, which starts with the length of a string.
 */
public sealed interface ProbeFrame {
  /** Maximum number of targets in one frame. */
  int MAX_TARGETS = 64;

  /** First value of every probe frame, where a heartbeat has a string length. */
  long FRAME_MARKER = -1;

  /** Latency value of a replica that was reached but returned an unhealthy response. */
  long UNHEALTHY = -1;

  /** Latency value of a replica that could not be reached or did not respond in time. */
  long UNREACHABLE = -2;

  /** Latency value of a replica that was not probed. */
  long NOT_PROBED = -3;

  /**
   * The address to probe.
   *
   * @param path the path of the HTTP GET request, or empty to check only that a connection opens
   */
  record ProbeTarget(String host, int port, String path) {}

  /** The leader's request to a peer to probe targets. */
  record ProbeRequest(String to, String from, long batch, long timeoutMs, List<ProbeTarget> targets)
      implements ProbeFrame {}

  /** The latencies in milliseconds, or one of the negative values, in the order of the request. */
  record ProbeResponse(String to, String from, long batch, List<Long> latenciesMs)
      implements ProbeFrame {}

  /** Returns whether a frame is a probe frame. */
  static boolean isProbeFrame(byte[] frame) {
    return frame.length > 0 && frame[0] == 1;
  }

  /** Encodes the frame. */
  default byte[] encode() {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      BinaryEncoder out = EncoderFactory.get().directBinaryEncoder(bytes, null);
      out.writeLong(FRAME_MARKER);
      if (this instanceof ProbeRequest request) {
        out.writeIndex(0);
        writeHeader(out, request.to, request.from, request.batch);
        out.writeLong(request.timeoutMs);
        out.writeArrayStart();
        out.setItemCount(request.targets.size());
        for (ProbeTarget target : request.targets) {
          out.startItem();
          out.writeString(target.host);
          out.writeInt(target.port);
          out.writeString(target.path);
        }
        out.writeArrayEnd();
      } else if (this instanceof ProbeResponse response) {
        out.writeIndex(1);
        writeHeader(out, response.to, response.from, response.batch);
        out.writeArrayStart();
        out.setItemCount(response.latenciesMs.size());
        for (long latencyMs : response.latenciesMs) {
          out.startItem();
          out.writeLong(latencyMs);
        }
        out.writeArrayEnd();
      }
      out.flush();
      return bytes.toByteArray();
    } catch (IOException exception) {
      throw new IllegalStateException("encoding in memory failed", exception);
    }
  }

  private static void writeHeader(BinaryEncoder out, String to, String from, long batch)
      throws IOException {
    out.writeString(to);
    out.writeString(from);
    out.writeLong(batch);
  }

  /**
   * Decodes a frame.
   *
   * @throws InvalidMessageException if the frame has too many targets or an unknown kind
   */
  static ProbeFrame decode(byte[] frame) throws InvalidMessageException {
    AvroInput in = new AvroInput(frame);
    if (in.readLong() != FRAME_MARKER) {
      throw new InvalidMessageException("not a probe frame");
    }
    int kind = in.readUnionIndex();
    String to = in.readString();
    String from = in.readString();
    long batch = in.readLong();
    return switch (kind) {
      case 0 -> new ProbeRequest(to, from, batch, in.readLong(), readTargets(in));
      case 1 -> new ProbeResponse(to, from, batch, readLatencies(in));
      default -> throw new InvalidMessageException("probe frame of unknown kind");
    };
  }

  private static List<ProbeTarget> readTargets(AvroInput in) throws InvalidMessageException {
    List<ProbeTarget> out = new ArrayList<>();
    for (long items = in.readArrayStart(MAX_TARGETS);
        items != 0;
        items = in.readArrayNext(MAX_TARGETS - out.size())) {
      for (long i = 0; i < items; i++) {
        out.add(new ProbeTarget(in.readString(), in.readInt(), in.readString()));
      }
    }
    return out;
  }

  private static List<Long> readLatencies(AvroInput in) throws InvalidMessageException {
    List<Long> out = new ArrayList<>();
    for (long items = in.readArrayStart(MAX_TARGETS);
        items != 0;
        items = in.readArrayNext(MAX_TARGETS - out.size())) {
      for (long i = 0; i < items; i++) {
        out.add(in.readLong());
      }
    }
    return out;
  }
}
