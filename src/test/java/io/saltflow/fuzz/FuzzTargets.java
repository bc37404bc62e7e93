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
 * What strangers' bytes reach, each as a function that may refuse its input and must do nothing
 * else: no other exception, no endless loop, no memory that a claim alone sets aside. {@code
 * docs/FUZZING.md} says how to run them; {@code CorpusTest} replays what was found.
 */
public final class FuzzTargets {
  private FuzzTargets() {}

  /** The targets by the names of their corpora. */
  static Map<String, Consumer<byte[]>> all() {
    Map<String, Consumer<byte[]>> out = new TreeMap<>();
    out.put("frames", FrameFuzzTarget::run);
    out.put("session", AmqpSessionFuzzTarget::run);
    out.put("http", FuzzTargets::http);
    out.put("msgpack", FuzzTargets::msgpack);
    out.put("entries", FuzzTargets::entries);
    out.put("beats", FuzzTargets::beats);
    out.put("group", RaftMessageFuzzTarget::run);
    return out;
  }

  /** Requests and answers, cut in two where the first byte says. */
  static void http(byte[] data) {
    if (data.length == 0) {
      return;
    }
    int cut = 1 + (data[0] & 0xff) % data.length;
    HttpParser parser = new HttpParser((data[0] & 1) == 0, 64 * 1024);
    try {
      ByteBuffer first = ByteBuffer.wrap(data, 1, cut - 1);
      boolean whole = parser.feed(first);
      if (!whole && parser.feed(ByteBuffer.wrap(data, cut, data.length - cut))) {
        whole = true;
      }
      if (whole && parser.body().length > data.length) {
        throw new IllegalStateException("a body longer than what came");
      }
    } catch (HttpParser.MalformedMessageException exception) {
      // Refused, as it should be.
    }
  }

  /** What is read is written and read again the same; jobs and reports are read from it. */
  static void msgpack(byte[] data) {
    MessageBody body;
    try {
      body = MessagePackCodec.decode(data);
    } catch (InvalidMessageException exception) {
      return;
    }
    try {
      byte[] again = MessagePackCodec.encode(body);
      if (!Arrays.equals(again, MessagePackCodec.encode(MessagePackCodec.decode(again)))) {
        throw new IllegalStateException("not read as it was written");
      }
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException("what was written can't be read", exception);
    }
    try {
      JobCodec.decode(body);
    } catch (InvalidMessageException exception) {
      // Refused.
    }
    try {
      WorkerCodec.decodeHeartbeat(body);
    } catch (InvalidMessageException exception) {
      // Refused.
    }
    try {
      WorkerCodec.decodeCommands(body);
    } catch (InvalidMessageException exception) {
      // Refused.
    }
  }

  static void entries(byte[] data) {
    try {
      EntryCodec.encode(EntryCodec.decode(data));
    } catch (InvalidMessageException exception) {
      // Refused.
    }
  }

  /** What comes to the mesh's port. */
  static void beats(byte[] data) {
    try {
      if (ProbeFrame.isProbeFrame(data)) {
        ProbeFrame.decode(data).encode();
      } else {
        PeerHeartbeat.decode(data).encode();
      }
    } catch (InvalidMessageException exception) {
      // Refused.
    }
  }

  /** The fuzzer's entry: the system property {@code target} names one of {@link #all}. */
  public static void fuzzerTestOneInput(byte[] data) {
    all().get(System.getProperty("target", "session")).accept(data);
  }
}
