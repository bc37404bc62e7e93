package io.saltflow.standin;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.protocol.WorkerCodec;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A rented machine: once it is up it reports to the controllers and does what they answer. */
public final class StandInMachine extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(StandInMachine.class);
  private static final Span PATIENCE = Span.seconds(4);
  private static final Span NEXT_NODE = Span.seconds(1);
  private static final Span STEP = Span.millis(50);
  private static final Span AT_LEAST_BETWEEN = Span.millis(500);

  private final Loop loop;
  private final List<InetSocketAddress> nodes;
  private final Span reportEvery;
  private final LongSupplier random;
  private final WorkerModel model;
  private final Listening listening;
  private HttpClient client;
  private int node;
  private boolean reporting;
  private Time lastReport = Time.LONG_AGO;
  private Time nextReport;

  /** How often machines report and how long they go on without an answer. */
  public record Rhythm(Span report, Span lease) {}

  public StandInMachine(
      Routine parent,
      Loop loop,
      CloudStore.Rented rented,
      List<InetSocketAddress> nodes,
      Rhythm rhythm,
      Depot depot,
      LongSupplier random) {
    super(parent);
    this.loop = loop;
    this.nodes = nodes;
    this.reportEvery = rhythm.report();
    this.random = random;
    Time up = rented.up();
    model =
        new WorkerModel(
            rented.id(), rented.type(), rented.zone(), rented.spot(), rhythm.lease(), depot, up);
    nextReport = up;
    listening = new Listening(this, loop, rented.zone());
    client = new HttpClient(this, loop, nodes.get(0), 1, 4);
    loop.after(up.since(loop.now()), this, () -> loop.every(STEP, this, this::step));
  }

  private void step() {
    Time now = loop.now();
    if (!now.before(model.nextDue())) {
      model.tick(now);
    }
    if (model.changed()) {
      listening.running(model.running());
    }
    boolean soon = model.changed() && now.since(lastReport).compareTo(AT_LEAST_BETWEEN) >= 0;
    if (!reporting && (soon || !now.before(nextReport))) {
      report(now);
    }
  }

  private void report(Time now) {
    reporting = true;
    lastReport = now;
    long quarter = Math.max(1, reportEvery.ms() / 2);
    nextReport =
        now.plus(
            Span.millis(reportEvery.ms() * 3 / 4 + Math.floorMod(random.getAsLong(), quarter)));
    Report report = model.report();
    client.call(
        "POST",
        Wire.PATH_CHECKIN,
        MsgPack.encode(WorkerCodec.encodeReport(report)),
        PATIENCE,
        a -> {
          reporting = false;
          if (a.status() == 200) {
            obey(report, a, now);
          } else {
            elsewhere();
          }
        });
  }

  private void obey(Report report, HttpClient.Answer a, Time sent) {
    try {
      Body answer = MsgPack.decode(a.body());
      Term token = new Term(answer.integer(Wire.TOKEN));
      List<Order> orders = WorkerCodec.decodeOrders(answer);
      model.answered(report.session(), token, orders, sent, loop.now());
    } catch (BadMessage e) {
      LOG.error("{}: the answer can't be read: {}", report.machine(), e.getMessage());
    }
  }

  /** Not this node, or not now: the next one, a second later. */
  private void elsewhere() {
    nextReport = loop.now().plus(NEXT_NODE);
    lastReport = loop.now();
    if (nodes.size() > 1) {
      node = (node + 1) % nodes.size();
      client.cancel();
      client = new HttpClient(this, loop, nodes.get(node), 1, 4);
    }
  }
}
