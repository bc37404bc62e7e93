package io.saltflow.fuzz;

import io.saltflow.amqp.AmqpSessionFuzzTarget;
import io.saltflow.amqp.FrameFuzzTarget;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.PeerHeartbeat;
import io.saltflow.protocol.ProbeFrame;
import io.saltflow.protocol.WorkerCodec;
import io.saltflow.queues.EntryCodec;
import io.saltflow.raft.RaftMessageFuzzTarget;
import io.saltflow.transport.HttpParser;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Fuzz targets for the parsers of untrusted input. A target may reject its input, but must not
 * throw another exception, loop forever, or allocate memory based on a claimed length alone. {@code
 * docs/FUZZING.md} describes how to run them, and {@code CorpusTest} replays the inputs found.
 */
public final class FuzzTargets {
  private FuzzTargets() {}

  /** Returns the targets by the names of their corpora. */
  static Map<String, Consumer<byte[]>> all() {
    Map<String, Consumer<byte[]>> targets = new TreeMap<>();
    targets.put("frames", FrameFuzzTarget::run);
    targets.put("session", AmqpSessionFuzzTarget::run);
    targets.put("http", FuzzTargets::http);
    targets.put("msgpack", FuzzTargets::msgpack);
    targets.put("entries", FuzzTargets::entries);
    targets.put("beats", FuzzTargets::peerMessages);
    targets.put("group", RaftMessageFuzzTarget::run);
    return targets;
  }

  /** Parses a request or an answer in two parts, split at a position given by the first byte. */
  static void http(byte[] data) {
    if (data.length == 0) {
      return;
    }
    int cut = 1 + (data[0] & 0xff) % data.length;
    HttpParser parser = new HttpParser((data[0] & 1) == 0, 64 * 1024);
    try {
      ByteBuffer first = ByteBuffer.wrap(data, 1, cut - 1);
      boolean complete = parser.feed(first);
      if (!complete && parser.feed(ByteBuffer.wrap(data, cut, data.length - cut))) {
        complete = true;
      }
      if (complete && parser.body().length > data.length) {
        throw new IllegalStateException("the body is longer than the input");
      }
    } catch (HttpParser.MalformedMessageException exception) {
      // Rejected as expected.
    }
  }

  /**
   * Checks that decoded values survive another round trip, and decodes them as worker and job
   * messages.
   */
  static void msgpack(byte[] data) {
    MessageBody body;
    try {
      body = MessagePackCodec.decode(data);
    } catch (InvalidMessageException exception) {
      return;
    }
    try {
      byte[] encoded = MessagePackCodec.encode(body);
      if (!Arrays.equals(encoded, MessagePackCodec.encode(MessagePackCodec.decode(encoded)))) {
        throw new IllegalStateException("the round trip changed the encoding");
      }
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException("cannot decode an encoded message", exception);
    }
    try {
      JobCodec.decode(body);
    } catch (InvalidMessageException exception) {
      // Rejected as expected.
    }
    try {
      WorkerCodec.decodeHeartbeat(body);
    } catch (InvalidMessageException exception) {
      // Rejected as expected.
    }
    try {
      WorkerCodec.decodeCommands(body);
    } catch (InvalidMessageException exception) {
      // Rejected as expected.
    }
  }

  static void entries(byte[] data) {
    try {
      EntryCodec.encode(EntryCodec.decode(data));
    } catch (InvalidMessageException exception) {
      // Rejected as expected.
    }
  }

  /** Decodes a frame received on the mesh port. */
  static void peerMessages(byte[] data) {
    try {
      if (ProbeFrame.isProbeFrame(data)) {
        ProbeFrame.decode(data).encode();
      } else {
        PeerHeartbeat.decode(data).encode();
      }
    } catch (InvalidMessageException exception) {
      // Rejected as expected.
    }
  }

  /** Entry point of the fuzzer. The system property {@code target} selects one of {@link #all}. */
  public static void fuzzerTestOneInput(byte[] data) {
    all().get(System.getProperty("target", "session")).accept(data);
  }
}
