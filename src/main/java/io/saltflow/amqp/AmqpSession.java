package io.saltflow.amqp;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The server side of an AMQP 0-9-1 connection. It receives bytes with their times, sends bytes, and
 * calls the {@link BrokerSession}. It uses no socket and no clock.
 */
public final class AmqpSession {
  private static final TimeSpan HANDSHAKE_TIMEOUT = TimeSpan.seconds(10);
  private static final TimeSpan CLOSE_TIMEOUT = TimeSpan.seconds(5);
  private static final String MECHANISMS = "PLAIN";

  /** The limits offered to clients, in bytes and counts. A heartbeat of 0 disables heartbeats. */
  public record Limits(int channels, int frameMax, TimeSpan heartbeat, int maxBodyBytes) {}

  /** The output of a session. */
  public interface Out {
    /** Sends bytes to the peer. */
    void send(ByteBuffer bytes);

    /** Closes the socket after all bytes are written. */
    void close();
  }

  private enum State {
    AWAITING_PROTOCOL_HEADER,
    STARTING,
    TUNING,
    OPENING,
    OPEN,
    CLOSING,
    CLOSED
  }

  private final Limits limits;
  private final Authenticator authenticator;
  private final Out out;
  private final MonotonicTime startedAt;
  private final FrameReader reader;
  private final ChannelTable channels = new ChannelTable();
  private State state = State.AWAITING_PROTOCOL_HEADER;
  private BrokerSession broker;
  private String user = "";
  private Capabilities clientCapabilities = Capabilities.NONE;
  private boolean blocked;
  private TuneParameters tuning = TuneParameters.INITIAL;
  private MonotonicTime lastReceived;
  private MonotonicTime lastSent;
  private MonotonicTime closingSince;
  private MonotonicTime now;
  private ByteWriter pending = new ByteWriter();

  /** Creates a session for a new connection, which writes to {@code out}. */
  public AmqpSession(Limits limits, Authenticator authenticator, Out out, MonotonicTime now) {
    this.limits = limits;
    this.authenticator = authenticator;
    this.out = out;
    this.startedAt = now;
    this.now = now;
    this.lastReceived = now;
    this.lastSent = now;
    // Before tuning, a peer may send only the small frames of the handshake.
    this.reader = new FrameReader(TuneParameters.MIN_FRAME_MAX);
  }

  /** Returns the authenticated user's name, or an empty string before authentication. */
  public String user() {
    return user;
  }

  /** Returns whether the handshake is complete and the connection is not closed. */
  public boolean open() {
    return state == State.OPEN;
  }

  /** Returns the number of open channels. */
  public int channelCount() {
    return channels.size();
  }

  /** Processes bytes from the peer, which may be fragmented at any position. */
  public void feed(ByteBuffer in, MonotonicTime at) {
    now = at;
    lastReceived = at;
    try {
      while (state != State.CLOSED) {
        boolean headerRead = reader.protocolHeaderRead();
        Frame frame = reader.next(in);
        if (!headerRead && reader.protocolHeaderRead()) {
          sendStart();
        }
        if (frame == null) {
          break;
        }
        handleFrame(frame);
      }
    } catch (FrameReader.ProtocolMismatchException exception) {
      out.send(FrameReader.protocolHeader());
      finish();
    } catch (AmqpException exception) {
      close(exception);
    }
    flush();
  }

  private void sendStart() {
    state = State.STARTING;
    send(
        0,
        Method.of(
            MethodKind.CONNECTION_START,
            0L,
            9L,
            Capabilities.serverProperties(),
            MECHANISMS,
            "en_US"));
  }

  private void handleFrame(Frame frame) throws AmqpException {
    switch (frame.type()) {
      case Frame.METHOD -> handleMethod(frame.channel(), Method.decode(frame.payload()));
      case Frame.HEADER -> {
        AmqpChannel channel = contentChannel(frame);
        runOnChannel(channel, MethodKind.BASIC_PUBLISH, () -> channel.readHeader(frame.payload()));
      }
      case Frame.BODY -> {
        AmqpChannel channel = contentChannel(frame);
        runOnChannel(channel, MethodKind.BASIC_PUBLISH, () -> channel.readBody(frame.payload()));
      }
      case Frame.HEARTBEAT -> {
        if (frame.channel() != 0 || frame.payload().hasRemaining()) {
          throw new AmqpException(ReplyCode.FRAME_ERROR, "a heartbeat with a channel or a payload");
        }
      }
      default ->
          throw new AmqpException(ReplyCode.FRAME_ERROR, "unknown frame type " + frame.type());
    }
  }

  private AmqpChannel contentChannel(Frame frame) throws AmqpException {
    AmqpChannel channel = channels.findByNumber(frame.channel());
    if (channel == null && state != State.CLOSING) {
      throw new AmqpException(ReplyCode.CHANNEL_ERROR, "content on a channel that is not open");
    }
    return channel;
  }

  private interface Step {
    void run() throws AmqpException;
  }

  /** Runs a step on a channel. A soft error closes the channel, a hard error the connection. */
  private void runOnChannel(AmqpChannel channel, MethodKind cause, Step step) throws AmqpException {
    if (state == State.CLOSING) {
      return;
    }
    try {
      step.run();
    } catch (AmqpException exception) {
      if (exception.code().hard()) {
        throw exception;
      }
      channel.close(exception, cause);
    }
  }

  private void handleMethod(int channel, Method method) throws AmqpException {
    if (channel == 0) {
      handleConnectionMethod(method);
      return;
    }
    if (state == State.CLOSING) {
      return;
    }
    if (state != State.OPEN || channel > tuning.channelMax()) {
      throw new AmqpException(ReplyCode.CHANNEL_ERROR, "channel " + channel + " can't be used");
    }
    AmqpChannel open = channels.findByNumber(channel);
    if (method.kind() == MethodKind.CHANNEL_OPEN) {
      if (open != null) {
        throw new AmqpException(ReplyCode.CHANNEL_ERROR, "channel " + channel + " is open");
      }
      channels.add(new AmqpChannel(channels.nextId(), channel, this, broker, limits.maxBodyBytes));
      send(channel, Method.of(MethodKind.CHANNEL_OPEN_OK, ""));
      return;
    }
    if (open == null) {
      if (method.kind() == MethodKind.CHANNEL_CLOSE_OK) {
        return;
      }
      throw new AmqpException(ReplyCode.CHANNEL_ERROR, "channel " + channel + " is not open");
    }
    runOnChannel(
        open,
        method.kind(),
        () -> {
          if (!open.handle(method)) {
            channels.remove(open);
          }
        });
  }

  private void handleConnectionMethod(Method method) throws AmqpException {
    if (method.kind() == MethodKind.CONNECTION_CLOSE) {
      send(0, Method.of(MethodKind.CONNECTION_CLOSE_OK));
      finish();
      return;
    }
    if (method.kind() == MethodKind.CONNECTION_CLOSE_OK) {
      finish();
      return;
    }
    if (state == State.CLOSING) {
      return;
    }
    State expected =
        switch (method.kind()) {
          case CONNECTION_START_OK -> State.STARTING;
          case CONNECTION_TUNE_OK -> State.TUNING;
          case CONNECTION_OPEN -> State.OPENING;
          default -> null;
        };
    if (expected == null || expected != state) {
      throw new AmqpException(ReplyCode.COMMAND_INVALID, method.kind() + " is out of place");
    }
    switch (state) {
      case STARTING -> handleStartOk(method);
      case TUNING -> handleTuneOk(method);
      default -> {
        broker = authenticator.open(user, method.text(0), this);
        state = State.OPEN;
        send(0, Method.of(MethodKind.CONNECTION_OPEN_OK, ""));
      }
    }
  }

  private void handleStartOk(Method method) throws AmqpException {
    clientCapabilities = Capabilities.ofClient(method.table(0));
    user = authenticator.login(method.text(1), method.text(2));
    state = State.TUNING;
    send(
        0,
        Method.of(
            MethodKind.CONNECTION_TUNE,
            (long) limits.channels,
            (long) limits.frameMax,
            limits.heartbeat.ms() / 1000));
  }

  private void handleTuneOk(Method method) throws AmqpException {
    tuning = TuneParameters.negotiate(limits, method);
    reader.frameMax(tuning.frameMax());
    state = State.OPENING;
  }

  /** Sends heartbeats and checks timeouts. Returns {@code false} if the socket must be closed. */
  public boolean tick(MonotonicTime at) {
    now = at;
    TimeSpan heartbeat = tuning.heartbeat();
    boolean timedOut =
        switch (state) {
          case OPEN -> heartbeat.ms() > 0 && now.since(lastReceived).longerThan(heartbeat.times(2));
          case CLOSING -> now.since(closingSince).longerThan(CLOSE_TIMEOUT);
          case CLOSED -> true;
          default -> now.since(startedAt).longerThan(HANDSHAKE_TIMEOUT);
        };
    if (timedOut) {
      disconnected();
      return false;
    }
    if (state == State.OPEN
        && heartbeat.ms() > 0
        && now.since(lastSent).compareTo(heartbeat.times(0.5)) >= 0) {
      Frame.heartbeat(pending);
      flush();
    }
    return true;
  }

  /** Ends the session before or after the socket is closed, and releases unsettled deliveries. */
  public void disconnected() {
    state = State.CLOSED;
    channels.clear();
    if (broker != null) {
      BrokerSession ended = broker;
      broker = null;
      ended.connectionClosed();
    }
  }

  private void finish() {
    flush();
    disconnected();
    out.close();
  }

  /** Closes the connection. The peer has a limited time to answer with close-ok. */
  public void close(AmqpException error) {
    if (state == State.CLOSING || state == State.CLOSED) {
      return;
    }
    if (state == State.AWAITING_PROTOCOL_HEADER) {
      finish();
      return;
    }
    send(
        0,
        Method.of(
            MethodKind.CONNECTION_CLOSE, (long) error.code().number(), error.replyText(), 0L, 0L));
    disconnected();
    state = State.CLOSING;
    closingSince = now;
    flush();
  }

  void send(int channel, Method method) {
    Frame.method(pending, channel, method);
  }

  void sendContent(int channel, byte[] properties, byte[] body) {
    Frame.content(pending, channel, properties, body, tuning.frameMax());
  }

  /** Sends all frames written since the last call as one buffer. */
  public void flush() {
    if (pending.size() > 0) {
      lastSent = now;
      out.send(pending.toBuffer());
      pending = new ByteWriter();
    }
  }

  /** Confirms recorded publishes of a channel, unless it was closed. */
  public void confirmPublishes(long channelId, List<Long> numbers) {
    AmqpChannel open = channels.findById(channelId);
    if (open != null) {
      open.confirmPublishes(numbers);
    }
  }

  /** Rejects a publish of a channel that was not recorded. */
  public void rejectPublish(long channelId, long number, AmqpException reason) {
    AmqpChannel open = channels.findById(channelId);
    if (open != null) {
      open.rejectPublish(number, reason);
    }
  }

  /** Sends a delivery. Returns {@code false} if the consumer no longer exists. */
  public boolean deliver(long channelId, String tag, OutgoingDelivery delivery) {
    AmqpChannel open = channels.findById(channelId);
    return open != null && open.deliver(delivery, tag);
  }

  /** Answers a get, with {@code null} if there is no message. Returns whether it was pending. */
  public boolean answerGet(long channelId, OutgoingDelivery delivery, int left) {
    AmqpChannel open = channels.findById(channelId);
    return open != null && open.answerGet(delivery, left);
  }

  /** Cancels a consumer on behalf of the server. */
  public void cancelConsumer(long channelId, String tag) {
    AmqpChannel open = channels.findById(channelId);
    if (open != null) {
      open.cancelConsumer(tag, clientCapabilities.cancelNotify());
    }
  }

  /** Closes a channel on behalf of the server. */
  public void closeChannel(long channelId, AmqpException reason) {
    AmqpChannel open = channels.findById(channelId);
    if (open != null) {
      open.close(reason, null);
    }
  }

  /** Notifies the client that publishes are blocked, or unblocked if there is no reason. */
  public void setBlocked(String reason) {
    if (state != State.OPEN || blocked == (reason != null)) {
      return;
    }
    blocked = reason != null;
    if (clientCapabilities.blocked()) {
      send(
          0,
          blocked
              ? Method.of(MethodKind.CONNECTION_BLOCKED, reason)
              : Method.of(MethodKind.CONNECTION_UNBLOCKED));
    }
  }
}
