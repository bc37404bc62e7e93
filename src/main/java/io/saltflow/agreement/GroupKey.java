package io.saltflow.agreement;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret that the nodes of a group share. It signs each frame, so that who does not have it can
 * neither vote nor write. It hides nothing: what is sent can be read on the way.
 */
public final class GroupKey {
  /** A secret shorter than this is refused: it could be guessed. */
  public static final int LEAST_BYTES = 16;

  static final int MAC_BYTES = 32;

  private static final String ALGORITHM = "HmacSHA256";

  private final Mac mac;

  /**
   * A group's key; the secret is as it was read, without being stretched.
   *
   * @throws IllegalArgumentException when it has fewer than {@link #LEAST_BYTES} bytes
   */
  public GroupKey(byte[] secret) {
    if (secret.length < LEAST_BYTES) {
      throw new IllegalArgumentException("a group's key needs " + LEAST_BYTES + " bytes or more");
    }
    try {
      mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the Java platform lacks " + ALGORITHM, e);
    }
  }

  /** RFC 2104's HMAC with SHA-256, of the bytes from there on. */
  byte[] sign(byte[] bytes, int from) {
    mac.update(bytes, from, bytes.length - from);
    return mac.doFinal();
  }

  /** Compared in a time that does not tell how much of it was right. */
  boolean signed(byte[] bytes, int from, byte[] signature) {
    return MessageDigest.isEqual(sign(bytes, from), signature);
  }
}
