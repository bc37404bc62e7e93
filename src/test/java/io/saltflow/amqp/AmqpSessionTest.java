package io.saltflow.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.GoldenTraces;
import io.saltflow.model.TimeSpan;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests of the frames that a client receives and of the calls to the broker. */
class AmqpSessionTest {
  private static final byte[] CONVERSATION =
      Peer.join(
          Peer.handshake(),
          Peer.method(
              1, MethodKind.QUEUE_DECLARE, 0L, "q", false, true, false, false, false, Map.of()),
          Peer.method(1, MethodKind.CONFIRM_SELECT, false),
          Peer.publish(1, "q", "a body"),
          Peer.publish(1, "q", ""),
          Peer.publish(1, "q", "long ".repeat(1000)),
          Peer.method(1, MethodKind.BASIC_QOS, 0L, 65535L, false),
          Peer.method(1, MethodKind.BASIC_QOS, 0L, 0L, true),
          Peer.method(
              1, MethodKind.BASIC_CONSUME, 0L, "q", "me", false, false, false, false, Map.of()));

  /**
   * Returns the broker calls followed by the sent frames, because their interleaving depends on the
   * fragmentation.
   */
  private static List<String> sorted(Peer peer) {
    List<String> out = new ArrayList<>(peer.lines);
    out.sort(Comparator.comparing(line -> line.startsWith("<-")));
    return out;
  }

  private static Peer sessionFedInPieces(int pieces) {
    Peer peer = new Peer();
    peer.feedInPieces(CONVERSATION, pieces);
    return peer;
  }

  @Test
  void conversationMatchesTheGoldenTrace() throws IOException {
    List<String> trace = new ArrayList<>();
    Peer peer = sessionFedInPieces(CONVERSATION.length);
    peer.session.confirmPublishes(1, List.of(1L, 2L));
    peer.session.rejectPublish(1, 3, new AmqpException(ReplyCode.RESOURCE_LOCKED, "full"));
    peer.deliver("me");
    peer.deliver("me");
    peer.deliver("me");
    peer.feed(
        Peer.method(1, MethodKind.BASIC_ACK, 2L, true),
        Peer.method(1, MethodKind.BASIC_NACK, 3L, false, true),
        Peer.method(1, MethodKind.BASIC_CANCEL, "me", false));
    assertFalse(peer.deliver("me"), "delivered to a cancelled consumer");
    peer.feed(
        Peer.method(1, MethodKind.BASIC_ACK, 3L, false),
        Peer.publish(1, "q", "dropped"),
        Peer.method(1, MethodKind.CHANNEL_CLOSE_OK),
        Peer.method(2, MethodKind.CHANNEL_OPEN, ""),
        Peer.publish(2, "none", "never recorded"),
        Peer.method(2, MethodKind.CHANNEL_CLOSE_OK),
        Peer.method(0, MethodKind.CONNECTION_CLOSE, 200L, "bye", 0L, 0L));
    trace.addAll(peer.lines);
    GoldenTraces.check("amqp-conversation", trace);
  }

  /** Guards against a result that depends on how the input is fragmented. */
  @Test
  void sessionIsIndependentOfInputFragmentation() {
    List<String> expected = sorted(sessionFedInPieces(CONVERSATION.length));
    assertTrue(expected.contains("   publish 3 to q: 5000 bytes"), expected.toString());
    for (int size = 1; size < 40; size++) {
      assertEquals(expected, sorted(sessionFedInPieces(size)), "pieces of " + size);
    }
    for (int cut = 1; cut < CONVERSATION.length; cut++) {
      Peer peer = new Peer();
      peer.feed(
          Arrays.copyOf(CONVERSATION, cut),
          Arrays.copyOfRange(CONVERSATION, cut, CONVERSATION.length));
      assertEquals(expected, sorted(peer), "cut at " + cut);
    }
  }

  private static String answerTo(byte[]... parts) {
    Peer peer = new Peer().open();
    peer.feed(parts);
    return String.join("; ", peer.lines);
  }

  private static void assertRejected(String code, byte[]... parts) {
    String answer = answerTo(parts);
    assertTrue(answer.contains(code), answer);
  }

  @Test
  void protocolErrorsCloseWithTheSpecifiedReplyCode() {
    byte[] publish = Peer.method(1, MethodKind.BASIC_PUBLISH, 0L, "", "q", false, false);
    byte[] broken = Peer.method(1, MethodKind.BASIC_ACK, 1L, false);
    broken[broken.length - 1] = 0;
    assertRejected("CONNECTION_CLOSE [501", broken);
    assertRejected("CONNECTION_CLOSE [501", new byte[] {1, 0, 1, 0x7f, 0, 0, 0});
    assertRejected("CONNECTION_CLOSE [501", new byte[] {9, 0, 1, 0, 0, 0, 0, (byte) 0xCE});
    assertRejected(
        "CONNECTION_CLOSE [502", new byte[] {1, 0, 1, 0, 0, 0, 5, 0, 60, 0, 80, 0, (byte) 0xCE});
    assertRejected(
        "CONNECTION_CLOSE [540", new byte[] {1, 0, 1, 0, 0, 0, 4, 0, 99, 0, 1, (byte) 0xCE});
    assertRejected("CONNECTION_CLOSE [505", Peer.content(1, "no publish"));
    assertRejected("CONNECTION_CLOSE [505", publish, publish);
    assertRejected("CONNECTION_CLOSE [504", Peer.method(3, MethodKind.BASIC_ACK, 1L, false));
    assertRejected("CONNECTION_CLOSE [504", Peer.method(11, MethodKind.CHANNEL_OPEN, ""));
    assertRejected("CONNECTION_CLOSE [504", Peer.method(1, MethodKind.CHANNEL_OPEN, ""));
    assertRejected(
        "CONNECTION_CLOSE [503", Peer.method(0, MethodKind.CONNECTION_OPEN, "/", "", false));
    assertRejected("CONNECTION_CLOSE [503", Peer.method(1, MethodKind.BASIC_GET_EMPTY, ""));
    assertRejected("CONNECTION_CLOSE [540", Peer.method(1, MethodKind.TX_SELECT));
    assertRejected("CHANNEL_CLOSE [406", Peer.method(1, MethodKind.BASIC_ACK, 1L, false));
    assertRejected("CHANNEL_CLOSE [406", Peer.method(1, MethodKind.BASIC_ACK, 7L, true));
    assertRejected("CHANNEL_CLOSE [404", Peer.method(1, MethodKind.BASIC_GET, 0L, "none", false));
    assertRejected("CHANNEL_CLOSE [311", Peer.publish(1, "q", "x".repeat(10_001)));
    assertRejected("CHANNEL_CLOSE [403", Peer.method(1, MethodKind.QUEUE_PURGE, 0L, "q", false));
  }

  @Test
  void otherProtocolsAndWrongPasswordsAreRejected() {
    Peer other = new Peer();
    other.feed("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    assertEquals(List.of("<- another greeting", "<- closed"), other.lines);
    Peer wrong = new Peer();
    wrong.feed(
        Peer.protocolHeader(),
        Peer.method(0, MethodKind.CONNECTION_START_OK, Map.of(), "PLAIN", "\0u\0x", "en"));
    assertTrue(wrong.lines.get(1).contains("CONNECTION_CLOSE [403"), wrong.lines.toString());
    assertFalse(wrong.session.open());
  }

  /** Guards against sessions that outlive a dead peer whose socket stays open. */
  @Test
  void connectionEndsAfterMissedHeartbeatsOrSlowHandshake() {
    Peer peer = new Peer().open();
    peer.now = peer.now.plus(TimeSpan.seconds(10));
    assertTrue(peer.session.tick(peer.now));
    assertEquals(List.of("<- 0 heartbeat"), peer.lines);
    peer.now = peer.now.plus(TimeSpan.seconds(30));
    assertTrue(peer.session.tick(peer.now));
    peer.now = peer.now.plus(TimeSpan.seconds(1));
    assertFalse(peer.session.tick(peer.now));
    assertEquals("   connection ends", peer.lines.get(peer.lines.size() - 1));
    Peer slow = new Peer();
    slow.feed(Peer.protocolHeader());
    assertFalse(
        slow.session.tick(slow.now.plus(TimeSpan.seconds(11))),
        "handshake timeout did not end the session");
  }

  @Test
  void confirmsAreCombinedIntoMultipleAcks() {
    PublisherConfirms confirms = new PublisherConfirms();
    for (int i = 0; i < 6; i++) {
      confirms.next();
    }
    assertEquals(List.of(new PublisherConfirms.Ack(2, true)), confirms.acks(List.of(2L, 1L)));
    assertEquals(List.of(new PublisherConfirms.Ack(4, false)), confirms.acks(List.of(4L)));
    assertTrue(confirms.reject(3));
    assertEquals(List.of(new PublisherConfirms.Ack(6, true)), confirms.acks(List.of(5L, 6L, 6L)));
    assertEquals(List.of(), confirms.acks(List.of(6L)), "publish was acknowledged twice");
  }

  @Test
  void peerIsNotifiedWhenServerCancelsConsumer() {
    Peer peer = new Peer().open();
    peer.feed(
        Peer.method(
            1, MethodKind.BASIC_CONSUME, 0L, "q", "me", false, false, false, false, Map.of()));
    peer.session.cancelConsumer(1, "me");
    peer.session.flush();
    assertEquals("<- 1 BASIC_CANCEL [me, true]", peer.lines.get(peer.lines.size() - 1));
    assertFalse(peer.deliver("me"));
  }

  @Test
  void blockedAndUnblockedAreSentOnlyOnChange() {
    Peer peer = new Peer().open();
    peer.session.setBlocked("no room");
    peer.session.setBlocked("no room");
    peer.session.setBlocked(null);
    peer.session.flush();
    assertEquals(
        List.of("<- 0 CONNECTION_BLOCKED [no room]", "<- 0 CONNECTION_UNBLOCKED []"), peer.lines);
  }

  private static byte[] useOfChannel() {
    return Peer.join(
        Peer.method(1, MethodKind.CONFIRM_SELECT, false),
        Peer.method(
            1, MethodKind.BASIC_CONSUME, 0L, "q", "me", false, false, false, false, Map.of()),
        Peer.method(1, MethodKind.BASIC_GET, 0L, "q", false),
        Peer.publish(1, "q", "a body"));
  }

  /** Guards against answers of a closed channel that reach another one under its number. */
  @Test
  void answersOfClosedChannelDoNotReachChannelThatWasOpenedAgain() {
    Peer peer = new Peer().open();
    peer.feed(useOfChannel());
    long former = peer.calledOn;
    peer.feed(
        Peer.method(1, MethodKind.CHANNEL_CLOSE, 200L, "given up", 0L, 0L),
        Peer.method(1, MethodKind.CHANNEL_OPEN, ""),
        useOfChannel());
    peer.lines.clear();
    AmqpException reason = new AmqpException(ReplyCode.RESOURCE_LOCKED, "full");
    OutgoingDelivery delivery =
        new OutgoingDelivery("delivery", "q", false, false, new byte[2], new byte[2]);
    peer.session.confirmPublishes(former, List.of(1L));
    peer.session.rejectPublish(former, 1, reason);
    assertFalse(peer.session.deliver(former, "me", delivery));
    assertFalse(peer.session.answerGet(former, delivery, 0));
    peer.session.cancelConsumer(former, "me");
    peer.session.closeChannel(former, reason);
    peer.session.flush();
    assertEquals(List.of(), peer.lines, "frames of the former channel");
    peer.session.confirmPublishes(peer.calledOn, List.of(1L));
    peer.session.flush();
    assertEquals(List.of("<- 1 BASIC_ACK [1, false]"), peer.lines);
  }

  /** As above, for a channel that the server closes because of a peer's error. */
  @Test
  void answersOfFailedChannelDoNotReachChannelThatWasOpenedAgain() {
    Peer peer = new Peer().open();
    peer.feed(Peer.publish(1, "q", "without confirms"));
    long former = peer.calledOn;
    peer.feed(
        Peer.method(1, MethodKind.BASIC_ACK, 9L, false),
        Peer.method(1, MethodKind.CHANNEL_CLOSE_OK),
        Peer.method(1, MethodKind.CHANNEL_OPEN, ""),
        Peer.publish(1, "q", "without confirms"));
    peer.lines.clear();
    peer.session.rejectPublish(former, -1, new AmqpException(ReplyCode.RESOURCE_LOCKED, "full"));
    peer.session.flush();
    assertEquals(List.of(), peer.lines, "the new channel is not closed for the former one");
  }

  private static byte[] latin1(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Guards against different ids that are decoded to one text, and against the broker's own. */
  @Test
  void messageIdThatIsNotUtf8OrContainsNulIsRejected() {
    byte[] confirms = Peer.method(1, MethodKind.CONFIRM_SELECT, false);
    assertRejected("CHANNEL_CLOSE [406", Peer.publishWithId(1, "q", latin1("page-\u00e9")));
    assertRejected(
        "CHANNEL_CLOSE [406", confirms, Peer.publishWithId(1, "q", latin1("page-\u00e8")));
    assertRejected("CHANNEL_CLOSE [406", Peer.publishWithId(1, "q", latin1("\0unnamed-2-1")));
    Peer peer = new Peer().open();
    peer.feed(Peer.publishWithId(1, "q", "page-\u00e9".getBytes(StandardCharsets.UTF_8)));
    assertEquals("page-\u00e9", peer.lastMessageId);
  }

  /** Guards against messages without an id that are taken for repeats of each other. */
  @Test
  void emptyMessageIdCountsAsAbsent() {
    Peer peer = new Peer().open();
    peer.feed(Peer.publishWithId(1, "q", latin1("some")), Peer.publishWithId(1, "q", latin1("")));
    assertNull(peer.lastMessageId);
  }

  private static byte[] consume(String tag) {
    return Peer.method(
        1, MethodKind.BASIC_CONSUME, 0L, "q", tag, false, false, false, false, Map.of());
  }

  /** Guards against a generated tag that a client has chosen, which closed its connection. */
  @Test
  void generatedConsumerTagIsNoneThatTheClientChose() {
    String answer = answerTo(consume("ctag-1.1"), consume(""), consume(""));
    assertTrue(answer.contains("BASIC_CONSUME_OK [ctag-1.2]"), answer);
    assertTrue(answer.contains("BASIC_CONSUME_OK [ctag-1.3]"), answer);
    assertFalse(answer.contains("CLOSE"), answer);
  }

  /** Guards against a consumer that is taken for the pseudo-consumer of gets. */
  @Test
  void consumerTagWithNulIsRejected() {
    assertRejected("CHANNEL_CLOSE [406", consume("\0get"));
  }
}
