package io.saltflow.store;

import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Grants, renews and releases leases of the key-value store, which deletes the keys of a lease when
 * it expires or is released. All requests have leadership priority. Runs on the event loop.
 */
public final class LeaseClient {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseClient.class);

  private final KeyValueClient client;

  /** Creates a lease client that sends its requests through this client. */
  public LeaseClient(KeyValueClient client) {
    this.client = client;
  }

  /**
   * Requests a new lease.
   *
   * @param callback receives the lease's ID, or empty if none was granted or no response arrived
   */
  public void grant(TimeSpan ttl, TimeSpan timeout, Consumer<OptionalLong> callback) {
    send(
        "POST",
        Wire.PATH_LEASES,
        timeToLive(ttl),
        timeout,
        response ->
            callback.accept(
                response.isSuccess() && response.body().get(Wire.LEASE) instanceof Long id
                    ? OptionalLong.of(id)
                    : OptionalLong.empty()));
  }

  /** Renews a lease for its time to live. Status 404 means that it has expired. */
  public void renew(
      long leaseId,
      TimeSpan ttl,
      TimeSpan timeout,
      Consumer<KeyValueClient.StoreResponse> callback) {
    send("POST", path(leaseId) + Wire.RENEW_SUFFIX, timeToLive(ttl), timeout, callback);
  }

  /** Releases a lease. If the request is lost, the lease ends when it expires. */
  public void release(long leaseId, TimeSpan timeout) {
    send(
        "DELETE",
        path(leaseId),
        null,
        timeout,
        response ->
            LOG.debug("release of lease {} answered with status {}", leaseId, response.status()));
  }

  private static String path(long leaseId) {
    return Wire.PATH_LEASES + "/" + leaseId;
  }

  private static MessageBody timeToLive(TimeSpan ttl) {
    return MessageBody.of().with(Wire.TTL_MS, ttl.ms());
  }

  private void send(
      String method,
      String path,
      MessageBody body,
      TimeSpan timeout,
      Consumer<KeyValueClient.StoreResponse> callback) {
    client.call(
        KeyValueClient.RequestPriority.LEADERSHIP, method, path, body, 0, timeout, callback);
  }
}
