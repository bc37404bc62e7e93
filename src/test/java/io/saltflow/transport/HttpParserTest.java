package io.saltflow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against misread fragmented, chunked or malformed HTTP messages. */
class HttpParserTest {
  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.replace("~", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  @Test
  void requestIsReadByteByByte() throws HttpParser.MalformedMessageException {
    HttpParser parser = new HttpParser(true, 100);
    ByteBuffer input = bytes("POST /checkin HTTP/1.1~Host: x~Content-Length: 5~~hello");
    while (input.hasRemaining()) {
      assertFalse(parser.complete());
      parser.feed(ByteBuffer.wrap(new byte[] {input.get()}));
    }
    assertTrue(parser.complete());
    assertEquals("POST", parser.method());
    assertEquals("/checkin", parser.target());
    assertEquals("hello", new String(parser.body(), StandardCharsets.ISO_8859_1));
    assertFalse(parser.wantsClose());
  }

  @Test
  void chunkedResponseBodyIsJoined() throws HttpParser.MalformedMessageException {
    HttpParser parser = new HttpParser(false, 100);
    assertTrue(
        parser.feed(
            bytes(
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~Connection: close~~3~abc~2;x=y~de~0~~")));
    assertEquals(200, parser.status());
    assertEquals("abcde", new String(parser.body(), StandardCharsets.ISO_8859_1));
    assertTrue(parser.wantsClose());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "400 | GET /~~",
        "400 | nonsense~~",
        "400 | GET / FTP/1.1~~",
        "400 | GET / HTTP/1.1~no colon~~",
        "400 | POST / HTTP/1.1~Content-Length: x~~",
        "400 | POST / HTTP/1.1~Content-Length: -1~~",
        "400 | POST / HTTP/1.1~Content-Length: 1~Content-Length: 2~~",
        "400 | POST / HTTP/1.1~Content-Length: 1~Transfer-Encoding: chunked~~",
        "413 | POST / HTTP/1.1~Content-Length: 101~~",
        "413 | POST / HTTP/1.1~Content-Length: 99999999999~~",
        "413 | POST / HTTP/1.1~Transfer-Encoding: chunked~~fffffff~",
        "501 | POST / HTTP/1.1~Transfer-Encoding: gzip~~"
      })
  void malformedRequestIsRejected(int status, String text) {
    HttpParser parser = new HttpParser(true, 100);
    ByteBuffer in = bytes(text.strip() + "x".repeat(200));
    HttpParser.MalformedMessageException exception =
        assertThrows(HttpParser.MalformedMessageException.class, () -> parser.feed(in));
    assertEquals(status, exception.status());
  }

  @Test
  void tooLongLineAndTooManyHeadersAreRejected() {
    HttpParser longLineParser = new HttpParser(true, 100);
    assertEquals(
        414,
        assertThrows(
                HttpParser.MalformedMessageException.class,
                () -> longLineParser.feed(bytes("GET /" + "a".repeat(5000))))
            .status());
    HttpParser manyHeadersParser = new HttpParser(true, 100);
    assertEquals(
        431,
        assertThrows(
                HttpParser.MalformedMessageException.class,
                () -> manyHeadersParser.feed(bytes("GET / HTTP/1.1~" + "a: b~".repeat(70))))
            .status());
  }
}
