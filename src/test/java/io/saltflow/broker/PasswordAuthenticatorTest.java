package io.saltflow.broker;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import at.favre.lib.crypto.bcrypt.BCrypt;
import io.saltflow.amqp.AmqpException;
import io.saltflow.amqp.ReplyCode;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of password checks and of access to virtual hosts. */
class PasswordAuthenticatorTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private final PasswordAuthenticator authenticator =
      new PasswordAuthenticator(
          new AmqpSettings(
              null,
              Map.of(),
              null,
              List.of(
                  new AmqpSettings.User(
                      "u", BCrypt.withDefaults().hashToString(4, "p".toCharArray()), List.of("/"))),
              List.of(
                  new AmqpSettings.VirtualHost("/", List.of("10.1.0.0/16", "2001:db8::/32")),
                  new AmqpSettings.VirtualHost("other", List.of("0.0.0.0/0"))),
              List.of(),
              Map.of()),
          NOW);

  private ReplyCode rejectionCode(String response, MonotonicTime now) {
    return assertThrows(AmqpException.class, () -> authenticator.login("PLAIN", response, now))
        .code();
  }

  @Test
  void loginRequiresTheRightUserAndPassword() throws AmqpException {
    assertEquals("u", authenticator.login("PLAIN", "\0u\0p", NOW));
    assertEquals("u", authenticator.login("PLAIN", "u\0u\0p", NOW));
    assertEquals(ReplyCode.ACCESS_REFUSED, rejectionCode("\0u\0x", NOW));
    assertEquals(ReplyCode.ACCESS_REFUSED, rejectionCode("\0v\0p", NOW));
    assertEquals(ReplyCode.ACCESS_REFUSED, rejectionCode("other\0u\0p", NOW));
    assertEquals(ReplyCode.ACCESS_REFUSED, rejectionCode("u p", NOW));
    assertThrows(AmqpException.class, () -> authenticator.login("ANONYMOUS", "", NOW));
  }

  /**
   * Guards against password guessing that blocks the event loop until the leader's lease expires.
   */
  @Test
  void passwordChecksAreRateLimitedExceptForCachedLogins() throws AmqpException {
    authenticator.login("PLAIN", "\0u\0p", NOW);
    int attempts = 0;
    while (rejectionCode("\0u\0guess" + attempts, NOW) == ReplyCode.ACCESS_REFUSED) {
      attempts++;
    }
    assertEquals(3, attempts, "four checks in the first second, including the successful login");
    assertEquals("u", authenticator.login("PLAIN", "\0u\0p", NOW));
    assertEquals(
        ReplyCode.ACCESS_REFUSED, rejectionCode("\0u\0guess", NOW.plus(TimeSpan.seconds(1))));
  }

  @ParameterizedTest
  @CsvSource({
    "10.1.2.3, /, true",
    "10.2.2.3, /, false",
    "127.0.0.1, /, false",
    "2001:db8::7, /, true",
    "2001:db9::7, /, false",
    "::ffff:10.1.2.3, /, true",
    "10.1.2.3, other, false",
    "10.1.2.3, none, false"
  })
  void virtualHostIsOpenOnlyToItsNetworksAndUsers(String address, String host, boolean open)
      throws UnknownHostException {
    InetAddress from = InetAddress.getByName(address);
    if (open) {
      assertDoesNotThrow(() -> authenticator.authorize("u", host, from));
    } else {
      AmqpException exception =
          assertThrows(AmqpException.class, () -> authenticator.authorize("u", host, from));
      assertEquals(ReplyCode.NOT_ALLOWED, exception.code());
    }
  }
}
