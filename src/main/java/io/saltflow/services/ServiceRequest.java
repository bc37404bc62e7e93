package io.saltflow.services;

import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.PriorityNames;
import io.saltflow.protocol.Wire;
import java.util.List;

/** Decodes the request of {@code service apply}. Errors name the field. */
final class ServiceRequest {
  private static final int MAX_REPLICAS = 20_000;
  private static final String NAME = "[a-z0-9][a-z0-9-]{0,60}";

  private ServiceRequest() {}

  /** Returns the requested number of replicas. */
  static int replicas(MessageBody request) throws InvalidMessageException {
    long replicas = request.integer("replicas");
    if (replicas < 1 || replicas > MAX_REPLICAS) {
      throw new InvalidMessageException("replicas: from 1 to " + MAX_REPLICAS);
    }
    return (int) replicas;
  }

  /** Decodes the requested service with its first version. */
  static Service service(MessageBody messageBody, long wallMs) throws InvalidMessageException {
    String name = messageBody.text("name");
    int replicas = replicas(messageBody);
    if (!name.matches(NAME)) {
      throw new InvalidMessageException("name: small letters, digits and dashes");
    }
    Priority priority = PriorityNames.parse(messageBody.textOr(Wire.PRIORITY, Wire.PRIORITY_HIGH));
    if (priority == null) {
      throw new InvalidMessageException(Wire.PRIORITY + ": unknown priority");
    }
    ReplicaTemplate shape = shape(messageBody, replicas);
    Service.Version first =
        new Service.Version(
            1,
            messageBody.text(Wire.IMAGE),
            ServiceCodec.parameters(messageBody),
            shape.port(),
            requester(messageBody),
            wallMs,
            1);
    return new Service(
        name,
        messageBody.text(Wire.TEAM),
        priority,
        replicas,
        shape,
        List.of(first),
        1,
        null,
        List.of());
  }

  private static ReplicaTemplate shape(MessageBody messageBody, int replicas)
      throws InvalidMessageException {
    int port = (int) messageBody.integerOr("port", 0);
    int ports = port == 0 ? 0 : LiveService.taskSlots(replicas);
    if (port < 0 || (port > 0 && (port < 1024 || port + 2 * ports > 65_536))) {
      throw new InvalidMessageException(
          "port: two versions of " + ports + " ports each do not fit between 1024 and 65535");
    }
    long unavailable = messageBody.integerOr("mostUnavailable", 1);
    if (unavailable < 0 || unavailable > replicas) {
      throw new InvalidMessageException("mostUnavailable: from 0 to the number of replicas");
    }
    return new ReplicaTemplate(
        new Resources(
            messageBody.nonNegativeNumber(Wire.CORES),
            messageBody.nonNegativeNumberOr(Wire.GPUS, 0),
            messageBody.nonNegativeNumberOr(Wire.MEMORY_GB, 1)),
        messageBody.nonNegativeNumberOr(Wire.IMAGE_GB, 0.1),
        messageBody.flagOr(Wire.SPOT, false),
        (int) unavailable,
        port,
        ports);
  }

  /** Returns the user who sent the request. */
  static String requester(MessageBody messageBody) throws InvalidMessageException {
    return messageBody.textOr("by", "somebody");
  }
}
