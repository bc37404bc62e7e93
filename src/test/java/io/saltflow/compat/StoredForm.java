package io.saltflow.compat;

/**
 * Encoding of stored or transmitted data whose compatibility is tested.
 *
 * @param name the name of its sample
 * @param bytes the encoding written by this build or, for an earlier form, by an earlier build
 * @param earlier whether this build reads the encoding but writes a different one
 * @param codec decodes the encoding and encodes the result again
 */
public record StoredForm(String name, byte[] bytes, boolean earlier, Codec codec) {

  /** Decodes data and encodes the result again. */
  public interface Codec {
    /** Returns the encoding of the data decoded from the given bytes. */
    byte[] roundTrip(byte[] bytes) throws Exception;
  }

  /** Returns a form that this build writes and reproduces byte for byte. */
  public static StoredForm current(String name, byte[] bytes, Codec codec) {
    return new StoredForm(name, bytes, false, codec);
  }

  /** Returns a form of earlier builds, with missing fields or different compression. */
  public static StoredForm earlier(String name, byte[] bytes, Codec codec) {
    return new StoredForm(name, bytes, true, codec);
  }
}
