package io.saltflow.amqp;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Bytes that are written one after the other, big-endian. */
final class ByteWriter {
  private byte[] bytes = new byte[64];
  private int size;

  private void ensureCapacity(int more) {
    if (size + more > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(size + more, bytes.length * 2));
    }
  }

  ByteWriter u8(int value) {
    ensureCapacity(1);
    bytes[size++] = (byte) value;
    return this;
  }

  ByteWriter u16(int value) {
    return u8(value >> 8).u8(value);
  }

  ByteWriter u32(long value) {
    return u16((int) (value >> 16)).u16((int) value);
  }

  ByteWriter u64(long value) {
    return u32(value >> 32).u32(value);
  }

  ByteWriter write(byte[] more) {
    return write(more, 0, more.length);
  }

  ByteWriter write(byte[] more, int from, int length) {
    ensureCapacity(length);
    System.arraycopy(more, from, bytes, size, length);
    size += length;
    return this;
  }

  int size() {
    return size;
  }

  /** Writes a length over the four bytes at the given place. */
  void patchLength(int at) {
    long length = (long) size - at - 4;
    bytes[at] = (byte) (length >> 24);
    bytes[at + 1] = (byte) (length >> 16);
    bytes[at + 2] = (byte) (length >> 8);
    bytes[at + 3] = (byte) length;
  }

  byte[] toByteArray() {
    return Arrays.copyOf(bytes, size);
  }

  /** What was written, without copying; nothing may be written afterwards. */
  ByteBuffer toBuffer() {
    return ByteBuffer.wrap(bytes, 0, size);
  }
}
