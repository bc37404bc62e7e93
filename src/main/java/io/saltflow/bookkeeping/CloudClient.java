package io.saltflow.bookkeeping;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.Budget;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The cloud's interface, within its rate. */
public final class CloudClient extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);
  private static final byte[] NOTHING = new byte[0];
  private static final Span TRY = Span.seconds(4);
  private static final int PAGE = 500;

  private interface Reader<T> {
    T read(Body body) throws BadMessage;
  }

  private final Loop loop;
  private final HttpClient client;
  private final Budget budget;
  private boolean serving = true;

  public CloudClient(Routine parent, Loop loop, HttpClient client, double rps) {
    super(parent);
    this.loop = loop;
    this.client = client;
    // The cloud allows bursts worth two seconds.
    this.budget = new Budget(rps, 2 * rps, loop.now());
  }

  /** Whether a request may be made now. */
  public boolean ready() {
    return budget.take(1, loop.now());
  }

  private <T> void call(
      String method, String target, Body body, Reader<T> reader, BiConsumer<Integer, T> then) {
    client.call(
        method,
        target,
        body == null ? NOTHING : MsgPack.encode(body),
        TRY,
        a -> {
          T value = null;
          int status = a.status();
          if (status == 200) {
            try {
              value = reader.read(a.body().length == 0 ? Body.of() : MsgPack.decode(a.body()));
            } catch (BadMessage e) {
              LOG.error("the cloud's answer to {} can't be read: {}", target, e.getMessage());
              status = 0;
            }
          }
          boolean good = status == 200;
          if (good != serving && status != 429) {
            boolean trouble = status == 0 || (status == 503 && !refusal(a.body()));
            if (good || trouble) {
              LOG.info(
                  good ? "the cloud answers again" : "the cloud does not serve us: {}", status);
              serving = good;
            }
          }
          if (!good && status == 503 && refusal(a.body())) {
            status = NO_CAPACITY;
          }
          then.accept(status, value);
        });
  }

  /** Stands for a 503 that says there is no capacity, which is an answer and not an outage. */
  public static final int NO_CAPACITY = -1;

  private static boolean refusal(byte[] body) {
    try {
      return body.length > 0 && Wire.NO_CAPACITY.equals(MsgPack.decode(body).get(Wire.ERROR));
    } catch (BadMessage e) {
      return false;
    }
  }

  public void types(Consumer<List<MachineType>> then) {
    call(
        "GET",
        Wire.PATH_TYPES,
        null,
        CloudCodec::decodeTypes,
        (status, types) -> then.accept(types));
  }

  public void hire(
      String hire,
      String type,
      String zone,
      boolean spot,
      int count,
      BiConsumer<Integer, List<MachineId>> then) {
    call(
        "POST",
        Wire.PATH_MACHINES,
        CloudCodec.encodeHire(hire, type, zone, spot, count),
        CloudCodec::decodeHosts,
        then);
  }

  public void delete(List<MachineId> ids, Consumer<Boolean> then) {
    call(
        "POST",
        Wire.PATH_DELETE_MACHINES,
        CloudCodec.encodeHosts(ids),
        b -> b,
        (status, b) -> then.accept(status == 200));
  }

  /** The whole list; null when a page fails. */
  public void list(Consumer<List<CloudCodec.Listed>> then) {
    page("", new ArrayList<>(), then);
  }

  private record Page(List<CloudCodec.Listed> machines, boolean more) {}

  private void page(
      String after, List<CloudCodec.Listed> sofar, Consumer<List<CloudCodec.Listed>> then) {
    String target =
        Wire.PATH_MACHINES
            + "?"
            + (after.isEmpty() ? "" : Wire.AFTER + "=" + after + "&")
            + Wire.PAGE
            + "="
            + PAGE;
    call(
        "GET",
        target,
        null,
        b -> new Page(CloudCodec.decodeList(b), b.flagOr(Wire.MORE, false)),
        (status, page) -> {
          if (page == null) {
            then.accept(null);
            return;
          }
          sofar.addAll(page.machines);
          if (page.more && !page.machines.isEmpty()) {
            page(page.machines.get(page.machines.size() - 1).id().text(), sofar, then);
          } else {
            then.accept(sofar);
          }
        });
  }
}
