package io.saltflow.services;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Wire;
import java.util.List;

/** What {@code service apply} sends, read; the errors name the field. */
final class ServiceRequest {
  private static final int MOST_REPLICAS = 20_000;
  private static final String NAME = "[a-z0-9][a-z0-9-]{0,60}";

  private ServiceRequest() {}

  /** How many replicas it is to have. */
  static int replicas(Body request) throws BadMessage {
    long n = request.integer("replicas");
    if (n < 1 || n > MOST_REPLICAS) {
      throw new BadMessage("replicas: from 1 to " + MOST_REPLICAS);
    }
    return (int) n;
  }

  /** A service as it is asked for, with its first version. */
  static Service service(Body b, long wallMs) throws BadMessage {
    String name = b.text("name");
    int replicas = replicas(b);
    if (!name.matches(NAME)) {
      throw new BadMessage("name: small letters, digits and dashes");
    }
    Priority priority = Priority.of(b.textOr(Wire.PRIORITY, Wire.URGENCY_HIGH));
    if (priority == null) {
      throw new BadMessage(Wire.PRIORITY + ": unknown priority");
    }
    Shape shape = shape(b, replicas);
    Service.Version first =
        new Service.Version(
            1, b.text(Wire.IMAGE), ServiceCodec.parameters(b), shape.port(), by(b), wallMs, 1);
    return new Service(
        name, b.text(Wire.TEAM), priority, replicas, shape, List.of(first), 1, null, List.of());
  }

  private static Shape shape(Body b, int replicas) throws BadMessage {
    int port = (int) b.integerOr("port", 0);
    int ports = port == 0 ? 0 : LiveService.room(replicas);
    if (port < 0 || (port > 0 && (port < 1024 || port + 2 * ports > 65_536))) {
      throw new BadMessage(
          "port: two versions of " + ports + " ports each do not fit between 1024 and 65535");
    }
    long unavailable = b.integerOr("mostUnavailable", 1);
    if (unavailable < 0 || unavailable > replicas) {
      throw new BadMessage("mostUnavailable: from 0 to the number of replicas");
    }
    return new Shape(
        new Size(b.amount(Wire.CORES), b.amountOr(Wire.GPUS, 0), b.amountOr(Wire.MEMORY_GB, 1)),
        b.amountOr(Wire.IMAGE_GB, 0.1),
        b.flagOr(Wire.SPOT, false),
        (int) unavailable,
        port,
        ports);
  }

  /** Who asks. */
  static String by(Body b) throws BadMessage {
    return b.textOr("by", "somebody");
  }
}
