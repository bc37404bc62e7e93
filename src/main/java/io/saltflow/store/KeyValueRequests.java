package io.saltflow.store;

import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import io.saltflow.store.KeyValueClient.KeyValue;
import io.saltflow.store.KeyValueClient.PrefixListing;
import io.saltflow.store.KeyValueClient.StoreResponse;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Encodes the request targets of reads, listings and watches, and decodes their responses. */
final class KeyValueRequests {
  private static final Logger LOG = LoggerFactory.getLogger(KeyValueRequests.class);
  private static final int PAGE_SIZE = 500;
  private static final int STATUS_NOT_FOUND = 404;

  private KeyValueRequests() {}

  /** Returns the request target for reading one key. */
  static String keyTarget(String key) {
    return Wire.PATH_KV + "/" + key;
  }

  /** Decodes the response to a read of a key, or returns {@code null} if the read failed. */
  static KeyValue decodeKey(String key, StoreResponse response) {
    if (response.status() == STATUS_NOT_FOUND) {
      return new KeyValue(key, null, Revision.ABSENT);
    }
    if (!response.isSuccess()) {
      return null;
    }
    try {
      MessageBody body = response.body();
      return new KeyValue(key, body.map(Wire.VALUE), new Revision(body.integer(Wire.VERSION)));
    } catch (InvalidMessageException exception) {
      LOG.error("cannot decode value of key {}: {}", key, exception.getMessage());
      return null;
    }
  }

  /** Returns the request target for the page after the keys that were listed. */
  static String listTarget(String prefix, List<KeyValue> listed) {
    String after =
        listed.isEmpty() ? "" : "&" + Wire.AFTER + "=" + listed.get(listed.size() - 1).key();
    return Wire.PATH_KV
        + "?"
        + Wire.PREFIX
        + "="
        + prefix
        + after
        + "&"
        + Wire.PAGE
        + "="
        + PAGE_SIZE;
  }

  /**
   * Appends a page to the keys that were listed.
   *
   * @throws InvalidMessageException if the response holds no valid page
   */
  static PrefixListing appendPage(PrefixListing listed, StoreResponse response)
      throws InvalidMessageException {
    for (MessageBody pair : response.body().maps(Wire.ITEMS)) {
      listed
          .entries()
          .add(
              new KeyValue(
                  pair.text(Wire.KEY),
                  pair.map(Wire.VALUE),
                  new Revision(pair.integer(Wire.VERSION))));
    }
    // Changes are watched from the first page's revision. Later pages may be newer, but processing
    // a
    // change twice is harmless.
    return new PrefixListing(listed.entries(), Math.min(listed.revision(), response.revision()));
  }

  /** Returns the request target for a watch that the store holds for at most this timeout. */
  static String watchTarget(String prefix, long after, TimeSpan timeout) {
    return Wire.PATH_WATCH
        + "?"
        + Wire.PREFIX
        + "="
        + prefix
        + "&"
        + Wire.AFTER
        + "="
        + after
        + "&"
        + Wire.WATCH_TIMEOUT_MS
        + "="
        + timeout.ms();
  }
}
