package org.marjoramhoist.listener;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Bytes in an array that grows, whose capacity is known. Confined to one thread. */
final class ByteArray {

  private static final int FIRST_BYTES = 256;

  private byte[] bytes;
  private int size;

  ByteArray() {
    this(FIRST_BYTES);
  }

  ByteArray(int capacity) {
    bytes = new byte[capacity];
  }

  int size() {
    return size;
  }

  int capacity() {
    return bytes.length;
  }

  void add(byte value) {
    reserve(1);
    bytes[size++] = value;
  }

  void add(byte[] source, int offset, int length) {
    reserve(length);
    System.arraycopy(source, offset, bytes, size, length);
    size += length;
  }

  void add(String ascii) {
    byte[] source = ascii.getBytes(StandardCharsets.ISO_8859_1);
    add(source, 0, source.length);
  }

  private void reserve(int more) {
    if (more > bytes.length - size) {
      bytes = Arrays.copyOf(bytes, Math.max(size + more, 2 * bytes.length));
    }
  }

  void clear() {
    size = 0;
  }

  byte[] array() {
    return bytes;
  }

  /** Returns the bytes as text in which each character is one byte. */
  String text() {
    return new String(bytes, 0, size, StandardCharsets.ISO_8859_1);
  }
}
