package io.saltflow.kv;

import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import java.util.ArrayList;
import java.util.List;

/**
 * The mutations of one request, applied atomically.
 *
 * @param revision the store's revision after the batch
 */
public record WriteBatch(long revision, List<Mutation> mutations) {
  private static final String MUTATIONS_KEY = "do";
  private static final String REVOKED_LEASE_KEY = "end";

  /** Encodes the batch as a MessagePack map. */
  public byte[] encode() {
    List<Object> encoded = new ArrayList<>(mutations.size());
    for (Mutation mutation : mutations) {
      MessageBody body = MessageBody.of();
      if (mutation instanceof Mutation.Put put) {
        body.with(Wire.PUT, put.key()).with(Wire.VALUE, put.data());
        if (put.leaseId() != 0) {
          body.with(Wire.LEASE, put.leaseId());
        }
      } else if (mutation instanceof Mutation.Delete delete) {
        body.with(Wire.DELETE, delete.key());
      } else if (mutation instanceof Mutation.GrantLease grant) {
        body.with(Wire.LEASE, grant.leaseId()).with(Wire.TTL_MS, grant.ttl().ms());
      } else if (mutation instanceof Mutation.RevokeLease revoke) {
        body.with(REVOKED_LEASE_KEY, revoke.leaseId());
      }
      encoded.add(body);
    }
    return MessagePackCodec.encode(
        MessageBody.of().with(Wire.REVISION, revision).with(MUTATIONS_KEY, encoded));
  }

  /**
   * Decodes a batch that {@link #encode} wrote.
   *
   * @throws InvalidMessageException if it is malformed
   */
  public static WriteBatch decode(byte[] bytes) throws InvalidMessageException {
    MessageBody body = MessagePackCodec.decode(bytes);
    List<Mutation> mutations = new ArrayList<>();
    for (MessageBody item : body.maps(MUTATIONS_KEY)) {
      if (item.get(Wire.PUT) != null) {
        mutations.add(
            new Mutation.Put(
                item.text(Wire.PUT), item.map(Wire.VALUE), item.integerOr(Wire.LEASE, 0)));
      } else if (item.get(Wire.DELETE) != null) {
        mutations.add(new Mutation.Delete(item.text(Wire.DELETE)));
      } else if (item.get(Wire.TTL_MS) != null) {
        mutations.add(
            new Mutation.GrantLease(
                item.integer(Wire.LEASE), new TimeSpan(item.integer(Wire.TTL_MS))));
      } else {
        mutations.add(new Mutation.RevokeLease(item.integer(REVOKED_LEASE_KEY)));
      }
    }
    return new WriteBatch(body.integer(Wire.REVISION), mutations);
  }
}
