package io.saltflow.amqp;

import static io.saltflow.amqp.MethodKind.Type.BIT;
import static io.saltflow.amqp.MethodKind.Type.LONG;
import static io.saltflow.amqp.MethodKind.Type.LONGLONG;
import static io.saltflow.amqp.MethodKind.Type.LONGSTR;
import static io.saltflow.amqp.MethodKind.Type.OCTET;
import static io.saltflow.amqp.MethodKind.Type.SHORT;
import static io.saltflow.amqp.MethodKind.Type.SHORTSTR;
import static io.saltflow.amqp.MethodKind.Type.TABLE;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The methods of AMQP 0-9-1 with their numbers and their arguments in wire order. Includes the
 * common extensions confirm, basic.nack and connection.blocked.
 */
public enum MethodKind {
  CONNECTION_START(10, 10, OCTET, OCTET, TABLE, LONGSTR, LONGSTR),
  CONNECTION_START_OK(10, 11, TABLE, SHORTSTR, LONGSTR, SHORTSTR),
  CONNECTION_TUNE(10, 30, SHORT, LONG, SHORT),
  CONNECTION_TUNE_OK(10, 31, SHORT, LONG, SHORT),
  CONNECTION_OPEN(10, 40, SHORTSTR, SHORTSTR, BIT),
  CONNECTION_OPEN_OK(10, 41, SHORTSTR),
  CONNECTION_CLOSE(10, 50, SHORT, SHORTSTR, SHORT, SHORT),
  CONNECTION_CLOSE_OK(10, 51),
  CONNECTION_BLOCKED(10, 60, SHORTSTR),
  CONNECTION_UNBLOCKED(10, 61),
  CHANNEL_OPEN(20, 10, SHORTSTR),
  CHANNEL_OPEN_OK(20, 11, LONGSTR),
  CHANNEL_FLOW(20, 20, BIT),
  CHANNEL_FLOW_OK(20, 21, BIT),
  CHANNEL_CLOSE(20, 40, SHORT, SHORTSTR, SHORT, SHORT),
  CHANNEL_CLOSE_OK(20, 41),
  EXCHANGE_DECLARE(40, 10, SHORT, SHORTSTR, SHORTSTR, BIT, BIT, BIT, BIT, BIT, TABLE),
  EXCHANGE_DECLARE_OK(40, 11),
  EXCHANGE_DELETE(40, 20, SHORT, SHORTSTR, BIT, BIT),
  EXCHANGE_BIND(40, 30, SHORT, SHORTSTR, SHORTSTR, SHORTSTR, BIT, TABLE),
  EXCHANGE_UNBIND(40, 40, SHORT, SHORTSTR, SHORTSTR, SHORTSTR, BIT, TABLE),
  QUEUE_DECLARE(50, 10, SHORT, SHORTSTR, BIT, BIT, BIT, BIT, BIT, TABLE),
  QUEUE_DECLARE_OK(50, 11, SHORTSTR, LONG, LONG),
  QUEUE_BIND(50, 20, SHORT, SHORTSTR, SHORTSTR, SHORTSTR, BIT, TABLE),
  QUEUE_BIND_OK(50, 21),
  QUEUE_PURGE(50, 30, SHORT, SHORTSTR, BIT),
  QUEUE_DELETE(50, 40, SHORT, SHORTSTR, BIT, BIT, BIT),
  QUEUE_UNBIND(50, 50, SHORT, SHORTSTR, SHORTSTR, SHORTSTR, TABLE),
  BASIC_QOS(60, 10, LONG, SHORT, BIT),
  BASIC_QOS_OK(60, 11),
  BASIC_CONSUME(60, 20, SHORT, SHORTSTR, SHORTSTR, BIT, BIT, BIT, BIT, TABLE),
  BASIC_CONSUME_OK(60, 21, SHORTSTR),
  BASIC_CANCEL(60, 30, SHORTSTR, BIT),
  BASIC_CANCEL_OK(60, 31, SHORTSTR),
  BASIC_PUBLISH(60, 40, SHORT, SHORTSTR, SHORTSTR, BIT, BIT),
  BASIC_RETURN(60, 50, SHORT, SHORTSTR, SHORTSTR, SHORTSTR),
  BASIC_DELIVER(60, 60, SHORTSTR, LONGLONG, BIT, SHORTSTR, SHORTSTR),
  BASIC_GET(60, 70, SHORT, SHORTSTR, BIT),
  BASIC_GET_OK(60, 71, LONGLONG, BIT, SHORTSTR, SHORTSTR, LONG),
  BASIC_GET_EMPTY(60, 72, SHORTSTR),
  BASIC_ACK(60, 80, LONGLONG, BIT),
  BASIC_REJECT(60, 90, LONGLONG, BIT),
  BASIC_RECOVER_ASYNC(60, 100, BIT),
  BASIC_RECOVER(60, 110, BIT),
  BASIC_RECOVER_OK(60, 111),
  BASIC_NACK(60, 120, LONGLONG, BIT, BIT),
  CONFIRM_SELECT(85, 10, BIT),
  CONFIRM_SELECT_OK(85, 11),
  TX_SELECT(90, 10),
  TX_COMMIT(90, 20),
  TX_ROLLBACK(90, 30);

  /**
   * The elementary types of arguments. Integers are decoded as {@code long}, strings as {@code
   * String}.
   */
  enum Type {
    OCTET,
    SHORT,
    LONG,
    LONGLONG,
    BIT,
    SHORTSTR,
    LONGSTR,
    TABLE
  }

  static final int BASIC_CLASS = 60;

  private static final Map<Integer, MethodKind> BY_NUMBER = new HashMap<>();

  static {
    for (MethodKind methodKind : values()) {
      BY_NUMBER.put(methodKind.classId << 16 | methodKind.methodId, methodKind);
    }
  }

  private final int classId;
  private final int methodId;
  private final List<Type> arguments;

  MethodKind(int classId, int methodId, Type... arguments) {
    this.classId = classId;
    this.methodId = methodId;
    this.arguments = List.of(arguments);
  }

  /** Returns the number of the method's class. */
  public int classId() {
    return classId;
  }

  /** Returns the method's number within its class. */
  public int methodId() {
    return methodId;
  }

  List<Type> arguments() {
    return arguments;
  }

  /** Returns the method with these numbers, or {@code null} if it is unknown. */
  static MethodKind of(int classId, int methodId) {
    return BY_NUMBER.get(classId << 16 | methodId);
  }
}
