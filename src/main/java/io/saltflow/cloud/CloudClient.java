package io.saltflow.cloud;

import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.RateLimiter;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the cloud provider's API for machine types, scale-out, scale-in and the list of
 * machines, with a limiter for the API's request rate. Each callback runs once, on the event loop.
 */
public final class CloudClient extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);
  private static final byte[] EMPTY_BODY = new byte[0];
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.seconds(4);
  private static final int PAGE_SIZE = 500;

  /** Burst that the cloud allows, in seconds at the full request rate. */
  private static final double BURST_SECONDS = 2;

  private static final int STATUS_NONE = 0;
  private static final int STATUS_OK = 200;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  /** Status reported for a 503 response that says there is no capacity, which is not an outage. */
  public static final int NO_CAPACITY = -1;

  private interface ResponseDecoder<T> {
    T decode(MessageBody body) throws InvalidMessageException;
  }

  private final EventLoop loop;
  private final HttpClient http;
  private final RateLimiter rateLimiter;
  private boolean available = true;

  /** Creates a client with its full burst available. */
  public CloudClient(Routine parent, EventLoop loop, HttpClient http, double requestsPerSecond) {
    super(parent);
    this.loop = loop;
    this.http = http;
    this.rateLimiter =
        new RateLimiter(requestsPerSecond, BURST_SECONDS * requestsPerSecond, loop.now());
  }

  /** Takes a permit for one request. Returns whether the request may be made now. */
  public boolean tryAcquire() {
    return rateLimiter.tryAcquire(1, loop.now());
  }

  private <T> void call(
      String method,
      String target,
      MessageBody body,
      ResponseDecoder<T> decoder,
      BiConsumer<Integer, T> callback) {
    http.call(
        method,
        target,
        body == null ? EMPTY_BODY : MessagePackCodec.encode(body),
        REQUEST_TIMEOUT,
        response -> onResponse(target, response, decoder, callback));
  }

  private <T> void onResponse(
      String target,
      HttpClient.Answer response,
      ResponseDecoder<T> decoder,
      BiConsumer<Integer, T> callback) {
    T value = null;
    int status = response.status();
    if (status == STATUS_OK) {
      try {
        value = decoder.decode(decodeBody(response.body()));
      } catch (InvalidMessageException exception) {
        LOG.error("cannot read response of cloud to {}: {}", target, exception.getMessage());
        status = STATUS_NONE;
      }
    }
    boolean noCapacity = status == STATUS_UNAVAILABLE && isNoCapacity(response.body());
    trackAvailability(status, noCapacity);
    callback.accept(noCapacity ? NO_CAPACITY : status, value);
  }

  private static MessageBody decodeBody(byte[] body) throws InvalidMessageException {
    return body.length == 0 ? MessageBody.of() : MessagePackCodec.decode(body);
  }

  private void trackAvailability(int status, boolean noCapacity) {
    boolean success = status == STATUS_OK;
    if (success == available || status == STATUS_TOO_MANY_REQUESTS) {
      return;
    }
    if (success) {
      LOG.info("cloud available again");
      available = true;
    } else if (status == STATUS_NONE || (status == STATUS_UNAVAILABLE && !noCapacity)) {
      LOG.info("cloud unavailable: status {}", status);
      available = false;
    }
  }

  private static boolean isNoCapacity(byte[] body) {
    try {
      return body.length > 0
          && Wire.NO_CAPACITY.equals(MessagePackCodec.decode(body).get(Wire.ERROR));
    } catch (InvalidMessageException exception) {
      return false;
    }
  }

  /**
   * Lists the available machine types.
   *
   * @param callback receives the types, or {@code null} if the request failed
   */
  public void listMachineTypes(Consumer<List<MachineType>> callback) {
    call(
        "GET",
        Wire.PATH_TYPES,
        null,
        CloudCodec::decodeTypes,
        (status, types) -> callback.accept(types));
  }

  /**
   * Requests machines.
   *
   * @param requestId id by which the cloud recognizes a repeated request
   * @param spot whether to request spot instances
   * @param callback receives the status, which is 0 without a response and may be {@link
   *     #NO_CAPACITY}, and the machines, or {@code null} if the status is not 200
   */
  public void createMachines(
      String requestId,
      String type,
      String zone,
      boolean spot,
      int count,
      BiConsumer<Integer, List<MachineId>> callback) {
    call(
        "POST",
        Wire.PATH_MACHINES,
        CloudCodec.encodeScaleOut(requestId, type, zone, spot, count),
        CloudCodec::decodeMachineIds,
        callback);
  }

  /**
   * Deletes machines.
   *
   * @param callback receives whether the cloud confirmed the deletion
   */
  public void deleteMachines(List<MachineId> ids, Consumer<Boolean> callback) {
    call(
        "POST",
        Wire.PATH_DELETE_MACHINES,
        CloudCodec.encodeMachineIds(ids),
        body -> body,
        (status, body) -> callback.accept(status == 200));
  }

  /**
   * Lists all machines, page by page.
   *
   * @param callback receives the machines, or {@code null} if a page could not be read
   */
  public void listMachines(Consumer<List<CloudCodec.ListedMachine>> callback) {
    listPage("", new ArrayList<>(), callback);
  }

  private record MachinePage(List<CloudCodec.ListedMachine> machines, boolean more) {}

  private void listPage(
      String after,
      List<CloudCodec.ListedMachine> machines,
      Consumer<List<CloudCodec.ListedMachine>> callback) {
    String target =
        Wire.PATH_MACHINES
            + "?"
            + (after.isEmpty() ? "" : Wire.AFTER + "=" + after + "&")
            + Wire.PAGE
            + "="
            + PAGE_SIZE;
    call(
        "GET",
        target,
        null,
        body -> new MachinePage(CloudCodec.decodeList(body), body.flagOr(Wire.TRUNCATED, false)),
        (status, page) -> {
          if (page == null) {
            callback.accept(null);
            return;
          }
          machines.addAll(page.machines);
          if (page.more && !page.machines.isEmpty()) {
            listPage(page.machines.get(page.machines.size() - 1).id().text(), machines, callback);
          } else {
            callback.accept(machines);
          }
        });
  }
}
