package io.saltflow.raft;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret shared by the members of a group. It authenticates frames with HMAC-SHA256 and does
 * not encrypt them. Not thread-safe.
 */
public final class GroupKey {
  /** Minimum length of the secret, in bytes. */
  public static final int MIN_BYTES = 16;

  static final int MAC_BYTES = 32;

  private static final String ALGORITHM = "HmacSHA256";

  private final Mac mac;

  /**
   * Creates a key from the raw bytes of a secret.
   *
   * @throws InvalidGroupKeyException if it has fewer than {@link #MIN_BYTES} bytes
   */
  public GroupKey(byte[] secret) {
    if (secret.length < MIN_BYTES) {
      throw new InvalidGroupKeyException("a group's key needs " + MIN_BYTES + " bytes or more");
    }
    try {
      mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
    } catch (GeneralSecurityException exception) {
      throw new IllegalStateException("the Java platform does not provide " + ALGORITHM, exception);
    }
  }

  /** Returns the HMAC (RFC 2104) of the bytes starting at the offset. */
  byte[] sign(byte[] bytes, int offset) {
    mac.update(bytes, offset, bytes.length - offset);
    return mac.doFinal();
  }

  /** Returns whether the signature is valid, comparing in constant time. */
  boolean verify(byte[] bytes, int offset, byte[] signature) {
    return MessageDigest.isEqual(sign(bytes, offset), signature);
  }
}
