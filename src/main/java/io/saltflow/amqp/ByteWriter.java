package io.saltflow.amqp;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** A growing byte buffer with big-endian integers. */
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

  /** Overwrites the four bytes at an offset with the number of bytes that follow them. */
  void patchLength(int offset) {
    long length = (long) size - offset - 4;
    bytes[offset] = (byte) (length >> 24);
    bytes[offset + 1] = (byte) (length >> 16);
    bytes[offset + 2] = (byte) (length >> 8);
    bytes[offset + 3] = (byte) length;
  }

  byte[] toByteArray() {
    return Arrays.copyOf(bytes, size);
  }

  /** Returns the written bytes without copying. Nothing may be written afterwards. */
  ByteBuffer toBuffer() {
    return ByteBuffer.wrap(bytes, 0, size);
  }
}
