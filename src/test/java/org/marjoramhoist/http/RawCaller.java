package org.marjoramhoist.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A caller with one connection, which sends the bytes of a request as told and sees the end of the
 * connection.
 *
 * <p>Confined to one thread.
 */
public final class RawCaller implements AutoCloseable {

  private static final int READ_TIMEOUT_MILLIS = 20_000;

  /**
   * A whole response.
   *
   * @param status the status
   * @param headers the headers, with names in lower case
   * @param body the body
   */
  public record Response(int status, Map<String, String> headers, String body) {

    /** Returns whether the connection is closed after the response. */
    public boolean closesConnection() {
      return "close".equals(headers.get("connection"));
    }
  }

  private final Socket socket = new Socket();
  private final InputStream in;

  /** Connects to {@code host:port}. */
  public RawCaller(String address) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    socket.connect(HostPort.parse(address));
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Returns the bytes of a POST request. */
  public static byte[] post(String authority, String path, String body) {
    return request("POST", authority, path, body);
  }

  /** Returns the bytes of a request. */
  public static byte[] request(String method, String authority, String path, String body) {
    return request(method, authority, path, "", body);
  }

  /**
   * Returns the bytes of a request.
   *
   * @param fields further lines of the head, each with its end
   */
  public static byte[] request(
      String method, String authority, String path, String fields, String body) {
    byte[] bodyBytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        method
            + " "
            + path
            + " HTTP/1.1\r\nHost: "
            + authority
            + "\r\n"
            + fields
            + "Content-Length: "
            + bodyBytes.length
            + "\r\n\r\n";
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
    bytes.writeBytes(bodyBytes);
    return bytes.toByteArray();
  }

  /** Sends bytes of a request. */
  public void send(byte[] bytes) throws IOException {
    send(bytes, 0, bytes.length);
  }

  /** Sends a part of the bytes of a request. */
  public void send(byte[] bytes, int offset, int length) throws IOException {
    socket.getOutputStream().write(bytes, offset, length);
  }

  /** Reads a response; fails if the connection ends before the response is whole. */
  public Response receive() throws IOException {
    String[] lines = receiveHead().split("\r\n");
    Map<String, String> headers = new HashMap<>();
    for (int i = 1; i < lines.length; i++) {
      String[] field = lines[i].split(": ", 2);
      headers.put(field[0].toLowerCase(Locale.ROOT), field[1]);
    }
    int length = Integer.parseInt(headers.get("content-length"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("body cut after " + body.length + " bytes");
    }
    return new Response(
        Integer.parseInt(lines[0].split(" ")[1]),
        headers,
        new String(body, StandardCharsets.UTF_8));
  }

  /** Ends the direction to the server; responses can still be received. */
  public void closeOutput() throws IOException {
    socket.shutdownOutput();
  }

  /** Resets the connection. */
  public void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /** Reads the head of a response, which is all of an interim one. */
  public String receiveHead() throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("head cut after " + head.size() + " bytes");
      }
      head.write(next);
    }
    return head.toString(StandardCharsets.US_ASCII);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
