package io.saltflow.amqp;

/**
 * Answers the exchange and queue methods of one channel. Exchanges and queues are fixed by the
 * operators' settings, so that a declaration only checks what exists. Methods return the reply, or
 * {@code null} if the peer wants none.
 */
final class Declarations {
  static final String DEFAULT_EXCHANGE = "";
  private static final String DIRECT_EXCHANGE = "amq.direct";

  private final BrokerSession broker;
  private String lastQueue = "";

  Declarations(BrokerSession broker) {
    this.broker = broker;
  }

  static boolean isSupportedExchange(String exchange) {
    return exchange.equals(DEFAULT_EXCHANGE) || exchange.equals(DIRECT_EXCHANGE);
  }

  Method handleExchangeMethod(Method method) throws AmqpException {
    if (method.kind() != MethodKind.EXCHANGE_DECLARE) {
      throw new AmqpException(
          ReplyCode.NOT_IMPLEMENTED, "only " + DIRECT_EXCHANGE + " and the default are served");
    }
    if (!isSupportedExchange(method.text(1))) {
      boolean passive = method.flag(3);
      throw new AmqpException(
          passive ? ReplyCode.NOT_FOUND : ReplyCode.ACCESS_REFUSED,
          "no exchange '" + method.text(1) + "'");
    }
    boolean noWait = method.flag(7);
    return noWait ? null : Method.of(MethodKind.EXCHANGE_DECLARE_OK);
  }

  Method handleQueueMethod(Method method) throws AmqpException {
    return switch (method.kind()) {
      case QUEUE_DECLARE -> declareQueue(method);
      case QUEUE_BIND -> bindQueue(method);
      default ->
          throw new AmqpException(
              ReplyCode.ACCESS_REFUSED, "queues are kept by the operators' settings");
    };
  }

  private Method bindQueue(Method method) throws AmqpException {
    String queue = resolveQueue(method.text(1));
    if (!method.text(2).equals(DIRECT_EXCHANGE) || !method.text(3).equals(queue)) {
      throw new AmqpException(
          ReplyCode.ACCESS_REFUSED, "each queue is bound by its own name to " + DIRECT_EXCHANGE);
    }
    boolean noWait = method.flag(4);
    return noWait ? null : Method.of(MethodKind.QUEUE_BIND_OK);
  }

  private Method declareQueue(Method method) throws AmqpException {
    boolean passive = method.flag(2);
    boolean exclusive = method.flag(4);
    boolean autoDelete = method.flag(5);
    boolean noWait = method.flag(6);
    if (!passive && method.text(1).isEmpty()) {
      throw new AmqpException(
          ReplyCode.ACCESS_REFUSED, "queues are kept by the operators' settings");
    }
    String queue = resolveQueue(method.text(1));
    if (!passive && (exclusive || autoDelete)) {
      ReplyCode code = exclusive ? ReplyCode.RESOURCE_LOCKED : ReplyCode.PRECONDITION_FAILED;
      throw new AmqpException(code, "'" + queue + "' is shared and stays");
    }
    BrokerSession.Status status = broker.status(queue);
    lastQueue = queue;
    return noWait
        ? null
        : Method.of(
            MethodKind.QUEUE_DECLARE_OK,
            queue,
            (long) status.messages(),
            (long) status.consumers());
  }

  /** Returns the name of an existing queue. An empty name refers to the last declared queue. */
  String resolveQueue(String queue) throws AmqpException {
    String name = queue.isEmpty() ? lastQueue : queue;
    if (broker.status(name) == null) {
      throw new AmqpException(ReplyCode.NOT_FOUND, "no queue '" + name + "'");
    }
    return name;
  }
}
