package io.saltflow.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parses and formats IPv4 addresses with a port, such as {@code 10.0.0.1:8080}. Host names are not
 * resolved.
 */
public final class Addresses {
  private Addresses() {}

  /**
   * Parses an address and port.
   *
   * @throws IllegalArgumentException if the text is not an IPv4 address with a port
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not of the form address:port");
    }
    String[] parts = text.substring(0, colon).split("\\.", -1);
    if (parts.length != 4) {
      throw new IllegalArgumentException("not an IPv4 address with a port");
    }
    byte[] ip = new byte[4];
    for (int i = 0; i < 4; i++) {
      ip[i] = (byte) parseBounded(parts[i], 255);
    }
    int port = parseBounded(text.substring(colon + 1), 65535);
    try {
      return new InetSocketAddress(InetAddress.getByAddress(text.substring(0, colon), ip), port);
    } catch (UnknownHostException exception) {
      throw new IllegalArgumentException(exception);
    }
  }

  /** Formats an address as {@code address:port}. */
  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static int parseBounded(String text, int max) {
    int value;
    try {
      value = Integer.parseInt(text);
    } catch (NumberFormatException exception) {
      throw new IllegalArgumentException("not an IPv4 address with a port", exception);
    }
    if (value < 0 || value > max) {
      throw new IllegalArgumentException("not an IPv4 address with a port");
    }
    return value;
  }
}
