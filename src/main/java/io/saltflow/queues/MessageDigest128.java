package io.saltflow.queues;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The first 128 bits of the SHA-256 digest of a queue and a message id, which identifies a repeated
 * publish. The probability of a collision among a billion ids is below 10^-20.
 */
public record MessageDigest128(long high, long low) {
  /**
   * Returns the digest of a sequence of texts. Each text is prefixed with its length, so that
   * different splits of the same characters have different digests.
   */
  public static MessageDigest128 of(String... texts) {
    MessageDigest sha;
    try {
      sha = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException("SHA-256 is not available on this Java platform", exception);
    }
    for (String text : texts) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
      sha.update(bytes);
    }
    ByteBuffer sum = ByteBuffer.wrap(sha.digest());
    return new MessageDigest128(sum.getLong(), sum.getLong());
  }

  static MessageDigest128 of(QueueId queue, String messageId) {
    return of(queue.vhost(), queue.name(), messageId);
  }
}
