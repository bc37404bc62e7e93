package io.saltflow.amqp;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A channel of a connection with its consumers, unsettled deliveries and publisher confirms. */
final class AmqpChannel {
  private static final int MAX_CONSUMERS = 256;

  private final long id;
  private final int number;
  private final AmqpSession session;
  private final BrokerSession broker;
  private final int maxBodyBytes;
  private final Declarations declarations;
  private final Set<String> tags = new HashSet<>();
  private final UnsettledDeliveries unsettled = new UnsettledDeliveries();
  private final PublisherConfirms confirms = new PublisherConfirms();
  private long lastPublish;
  private boolean confirmMode;
  private boolean closing;
  private boolean getPending;
  private int generatedTags;
  private IncomingPublish incoming;

  /**
   * @param id identifies this channel to the broker; never used again on the connection
   * @param number the peer's number, which another channel may have after this one is closed
   */
  AmqpChannel(long id, int number, AmqpSession session, BrokerSession broker, int maxBodyBytes) {
    this.id = id;
    this.number = number;
    this.session = session;
    this.broker = broker;
    this.maxBodyBytes = maxBodyBytes;
    this.declarations = new Declarations(broker);
  }

  /** Returns the id under which the broker knows this channel. */
  long id() {
    return id;
  }

  /** Returns the peer's number for this channel. */
  int number() {
    return number;
  }

  private void send(MethodKind kind, Object... arguments) {
    session.send(number, Method.of(kind, arguments));
  }

  private void sendReply(Method reply) {
    if (reply != null) {
      session.send(number, reply);
    }
  }

  /** Handles a method. Returns {@code false} if the channel is closed afterwards. */
  boolean handle(Method method) throws AmqpException {
    if (method.kind() == MethodKind.CHANNEL_CLOSE) {
      if (!closing) {
        broker.channelClosed(id);
      }
      send(MethodKind.CHANNEL_CLOSE_OK);
      return false;
    }
    if (closing) {
      // Everything that the peer sends before close-ok is discarded.
      return method.kind() != MethodKind.CHANNEL_CLOSE_OK;
    }
    if (incoming != null) {
      throw new AmqpException(ReplyCode.UNEXPECTED_FRAME, "a method where content was expected");
    }
    switch (method.kind().classId()) {
      case 20 -> handleChannelMethod(method);
      case 40 -> sendReply(declarations.handleExchangeMethod(method));
      case 50 -> sendReply(declarations.handleQueueMethod(method));
      case 85 -> handleConfirmMethod(method);
      case 90 -> throw new AmqpException(ReplyCode.NOT_IMPLEMENTED, "transactions are not served");
      default -> handleBasicMethod(method);
    }
    return true;
  }

  private void handleChannelMethod(Method method) throws AmqpException {
    switch (method.kind()) {
      case CHANNEL_FLOW -> {
        if (!method.flag(0)) {
          throw new AmqpException(ReplyCode.NOT_IMPLEMENTED, "flow is kept by prefetch");
        }
        send(MethodKind.CHANNEL_FLOW_OK, true);
      }
      case CHANNEL_FLOW_OK -> {}
      default ->
          throw new AmqpException(ReplyCode.CHANNEL_ERROR, method.kind() + " on an open channel");
    }
  }

  private void handleConfirmMethod(Method method) throws AmqpException {
    if (method.kind() != MethodKind.CONFIRM_SELECT) {
      throw new AmqpException(ReplyCode.COMMAND_INVALID, method.kind() + " is the server's");
    }
    confirmMode = true;
    if (!method.flag(0)) {
      send(MethodKind.CONFIRM_SELECT_OK);
    }
  }

  private void handleBasicMethod(Method method) throws AmqpException {
    switch (method.kind()) {
      case BASIC_QOS -> {
        if (method.number(0) != 0) {
          throw new AmqpException(ReplyCode.NOT_IMPLEMENTED, "prefetch is counted in messages");
        }
        broker.prefetch(id, (int) method.number(1), method.flag(2));
        send(MethodKind.BASIC_QOS_OK);
      }
      case BASIC_CONSUME -> consume(method);
      case BASIC_CANCEL -> {
        if (tags.remove(method.text(0))) {
          broker.cancel(id, method.text(0));
        }
        if (!method.flag(1)) {
          send(MethodKind.BASIC_CANCEL_OK, method.text(0));
        }
      }
      case BASIC_CANCEL_OK -> {}
      case BASIC_PUBLISH -> publish(method);
      case BASIC_GET -> {
        if (getPending) {
          throw new AmqpException(ReplyCode.CHANNEL_ERROR, "a get is under way");
        }
        String queue = declarations.resolveQueue(method.text(1));
        getPending = true;
        broker.get(id, queue, method.flag(2));
      }
      case BASIC_ACK -> settle(method.number(0), method.flag(1), BrokerSession.Settlement.ACK);
      case BASIC_NACK -> settle(method.number(0), method.flag(1), rejection(method.flag(2)));
      case BASIC_REJECT -> settle(method.number(0), false, rejection(method.flag(1)));
      case BASIC_RECOVER, BASIC_RECOVER_ASYNC -> {
        settle(0, true, BrokerSession.Settlement.REQUEUE);
        if (method.kind() == MethodKind.BASIC_RECOVER) {
          send(MethodKind.BASIC_RECOVER_OK);
        }
      }
      default ->
          throw new AmqpException(ReplyCode.COMMAND_INVALID, method.kind() + " is the server's");
    }
  }

  private static BrokerSession.Settlement rejection(boolean requeue) {
    return requeue ? BrokerSession.Settlement.REQUEUE : BrokerSession.Settlement.REJECT;
  }

  private void consume(Method method) throws AmqpException {
    String queue = declarations.resolveQueue(method.text(1));
    String tag =
        method.text(2).isEmpty()
            ? unusedTag()
            : FieldTables.requireIdentifier(method.text(2), "a consumer tag");
    boolean noAck = method.flag(4);
    boolean exclusive = method.flag(5);
    boolean noWait = method.flag(6);
    if (tags.contains(tag)) {
      throw new AmqpException(ReplyCode.NOT_ALLOWED, "consumer tag '" + tag + "' is in use");
    }
    if (exclusive) {
      throw new AmqpException(ReplyCode.ACCESS_REFUSED, "exclusive consumers are not served");
    }
    if (tags.size() >= MAX_CONSUMERS) {
      throw new AmqpException(ReplyCode.RESOURCE_LOCKED, "too many consumers on one channel");
    }
    // Deliveries are recorded before they are sent, so none precedes consume-ok.
    broker.consume(id, tag, queue, noAck);
    tags.add(tag);
    if (!noWait) {
      send(MethodKind.BASIC_CONSUME_OK, tag);
    }
  }

  /** Returns a tag that no consumer of this channel has, whoever chose it. */
  private String unusedTag() {
    String tag;
    do {
      tag = "ctag-" + number + "." + ++generatedTags;
    } while (tags.contains(tag));
    return tag;
  }

  private void publish(Method method) throws AmqpException {
    boolean mandatory = method.flag(3);
    boolean immediate = method.flag(4);
    if (immediate) {
      throw new AmqpException(ReplyCode.NOT_IMPLEMENTED, "immediate is not served");
    }
    if (!Declarations.isSupportedExchange(method.text(1))) {
      throw new AmqpException(ReplyCode.NOT_FOUND, "no exchange '" + method.text(1) + "'");
    }
    incoming = new IncomingPublish(method.text(1), method.text(2), mandatory);
  }

  /** Reads a content header, and publishes the message if its body is empty. */
  void readHeader(ByteBuffer in) throws AmqpException {
    if (closing) {
      return;
    }
    if (incoming == null || incoming.hasHeader()) {
      throw new AmqpException(ReplyCode.UNEXPECTED_FRAME, "a content header without a publish");
    }
    try {
      incoming.readHeader(in, maxBodyBytes);
    } catch (AmqpException exception) {
      if (exception.code() == ReplyCode.CONTENT_TOO_LARGE) {
        incoming = null;
      }
      throw exception;
    }
    publishIfComplete();
  }

  /** Reads a frame of the content body, and publishes the message if it is complete. */
  void readBody(ByteBuffer in) throws AmqpException {
    if (closing) {
      return;
    }
    if (incoming == null || !incoming.hasHeader()) {
      throw new AmqpException(ReplyCode.UNEXPECTED_FRAME, "a content body without its header");
    }
    incoming.readBody(in);
    publishIfComplete();
  }

  private void publishIfComplete() throws AmqpException {
    if (!incoming.complete()) {
      return;
    }
    IncomingPublish completed = incoming;
    incoming = null;
    long publishNumber = confirmMode ? confirms.next() : --lastPublish;
    if (broker.status(completed.routingKey()) != null) {
      broker.publish(
          id,
          publishNumber,
          completed.routingKey(),
          new BrokerSession.Content(completed.properties(), completed.body()));
    } else if (completed.mandatory()) {
      send(
          MethodKind.BASIC_RETURN,
          312L,
          ReplyCode.NO_ROUTE.name(),
          completed.exchange(),
          completed.routingKey());
      session.sendContent(number, completed.properties().bytes(), completed.body());
      if (confirmMode) {
        confirmPublishes(List.of(publishNumber));
      }
    } else {
      rejectPublish(
          publishNumber,
          new AmqpException(ReplyCode.NOT_FOUND, "no queue '" + completed.routingKey() + "'"));
    }
  }

  /** Confirms publishes, combining them into as few acks as possible. */
  void confirmPublishes(List<Long> numbers) {
    if (closing || !confirmMode) {
      return;
    }
    for (PublisherConfirms.Ack ack : confirms.acks(numbers)) {
      send(MethodKind.BASIC_ACK, ack.number(), ack.multiple());
    }
  }

  /** Rejects a publish. Sends a nack in confirm mode, and closes the channel otherwise. */
  void rejectPublish(long publishNumber, AmqpException reason) {
    if (closing) {
      return;
    }
    if (publishNumber > 0 && confirms.reject(publishNumber)) {
      send(MethodKind.BASIC_NACK, publishNumber, false, false);
    } else if (publishNumber < 0) {
      close(reason, MethodKind.BASIC_PUBLISH);
    }
  }

  private void settle(long tag, boolean multiple, BrokerSession.Settlement settlement)
      throws AmqpException {
    List<Object> settled = unsettled.settle(tag, multiple);
    settled.forEach(handle -> broker.settle(id, handle, settlement));
  }

  /**
   * Delivers a message. Returns {@code false} and sends nothing if the consumer no longer exists.
   */
  boolean deliver(OutgoingDelivery delivery, String tag) {
    if (closing || !tags.contains(tag)) {
      return false;
    }
    send(
        MethodKind.BASIC_DELIVER,
        tag,
        unsettled.add(delivery),
        delivery.redelivered(),
        Declarations.DEFAULT_EXCHANGE,
        delivery.queue());
    session.sendContent(number, delivery.properties(), delivery.body());
    return true;
  }

  /**
   * Answers a get. A {@code null} delivery means that no message is available. Returns {@code
   * false} if no get is pending.
   */
  boolean answerGet(OutgoingDelivery delivery, int left) {
    if (closing || !getPending) {
      return false;
    }
    getPending = false;
    if (delivery == null) {
      send(MethodKind.BASIC_GET_EMPTY, "");
      return true;
    }
    send(
        MethodKind.BASIC_GET_OK,
        unsettled.add(delivery),
        delivery.redelivered(),
        Declarations.DEFAULT_EXCHANGE,
        delivery.queue(),
        (long) left);
    session.sendContent(number, delivery.properties(), delivery.body());
    return true;
  }

  /** Cancels a consumer on behalf of the server, and notifies the peer if requested. */
  void cancelConsumer(String tag, boolean notifyPeer) {
    if (!closing && tags.remove(tag) && notifyPeer) {
      send(MethodKind.BASIC_CANCEL, tag, true);
    }
  }

  /** Closes the channel on behalf of the server. The peer must still answer with close-ok. */
  void close(AmqpException reason, MethodKind cause) {
    if (closing) {
      return;
    }
    closing = true;
    incoming = null;
    broker.channelClosed(id);
    send(
        MethodKind.CHANNEL_CLOSE,
        (long) reason.code().number(),
        reason.replyText(),
        cause == null ? 0L : (long) cause.classId(),
        cause == null ? 0L : (long) cause.methodId());
  }
}
