package io.saltflow.broker;

import at.favre.lib.crypto.bcrypt.BCrypt;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressNetwork.IPAddressGenerator;
import inet.ipaddr.IPAddressString;
import io.saltflow.amqp.AmqpException;
import io.saltflow.amqp.ReplyCode;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.RateLimiter;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Authenticates users by SASL PLAIN (RFC 4616) against salted password hashes, and authorizes
 * access to virtual hosts by user and network.
 */
final class PasswordAuthenticator {
  private static final String LOGIN_REFUSED = "login was refused";
  private static final int MAX_CACHED_LOGINS = 256;

  /**
   * Maximum rate of password checks per second. A check blocks the event loop for the duration of a
   * slow hash, so unbounded guessing could cost a leader its lease.
   */
  private static final double MAX_CHECKS_PER_S = 4;

  private final Map<String, AmqpSettings.User> users = new HashMap<>();
  private final Map<String, List<IPAddress>> networks = new HashMap<>();
  private final RateLimiter checkLimiter;

  /** Digests of verified credentials by user, so that further connections need no slow hash. */
  private final Map<String, byte[]> verifiedDigests =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, byte[]> eldest) {
          return size() > MAX_CACHED_LOGINS;
        }
      };

  PasswordAuthenticator(AmqpSettings settings, MonotonicTime now) {
    settings.users().forEach(u -> users.put(u.name(), u));
    for (AmqpSettings.VirtualHost virtualHost : settings.hosts()) {
      List<IPAddress> list = new ArrayList<>();
      virtualHost
          .networks()
          .forEach(n -> list.add(new IPAddressString(n).getAddress().toPrefixBlock()));
      networks.put(virtualHost.name(), list);
    }
    checkLimiter = new RateLimiter(MAX_CHECKS_PER_S, MAX_CHECKS_PER_S, now);
  }

  /**
   * Returns the user's name.
   *
   * @throws AmqpException if the credentials are wrong or checks are rate limited
   */
  String login(String mechanism, String response, MonotonicTime now) throws AmqpException {
    if (!mechanism.equals("PLAIN")) {
      throw new AmqpException(ReplyCode.ACCESS_REFUSED, "only PLAIN is spoken");
    }
    String[] parts = response.split("\0", -1);
    // The authorization identity may be absent or equal to the user name.
    if (parts.length != 3 || !(parts[0].isEmpty() || parts[0].equals(parts[1]))) {
      throw new AmqpException(ReplyCode.ACCESS_REFUSED, LOGIN_REFUSED);
    }
    AmqpSettings.User user = users.get(parts[1]);
    if (user == null || !verify(user, parts[2], now)) {
      throw new AmqpException(ReplyCode.ACCESS_REFUSED, LOGIN_REFUSED);
    }
    return user.name();
  }

  private boolean verify(AmqpSettings.User user, String password, MonotonicTime now)
      throws AmqpException {
    byte[] digest = digest(user.hash(), password);
    if (Arrays.equals(digest, verifiedDigests.get(user.name()))) {
      return true;
    }
    if (!checkLimiter.tryAcquire(1, now)) {
      throw new AmqpException(
          ReplyCode.CONNECTION_FORCED, "too many logins, come back in a second");
    }
    boolean verified =
        BCrypt.verifyer()
            .verify(
                password.getBytes(StandardCharsets.UTF_8),
                user.hash().getBytes(StandardCharsets.UTF_8))
            .verified;
    if (verified) {
      verifiedDigests.put(user.name(), digest);
    }
    return verified;
  }

  private static byte[] digest(String hash, String password) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      sha.update(hash.getBytes(StandardCharsets.UTF_8));
      sha.update((byte) 0);
      return sha.digest(password.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException("SHA-256 is not available on this Java platform", exception);
    }
  }

  /**
   * Checks that the user may open the virtual host from this address.
   *
   * @throws AmqpException if the user or the network has no access
   */
  void authorize(String user, String host, InetAddress from) throws AmqpException {
    List<IPAddress> allowed = networks.get(host);
    if (allowed == null) {
      throw new AmqpException(ReplyCode.NOT_ALLOWED, "no virtual host '" + host + "'");
    }
    IPAddress address = new IPAddressGenerator().from(from);
    // An IPv4-mapped IPv6 address is also matched as an IPv4 address.
    IPAddress unmapped = address.isIPv4Convertible() ? address.toIPv4() : address;
    boolean networkAllowed =
        allowed.stream().anyMatch(n -> n.contains(unmapped) || n.contains(address));
    if (!networkAllowed || !users.get(user).hosts().contains(host)) {
      throw new AmqpException(
          ReplyCode.NOT_ALLOWED,
          "virtual host '" + host + "' is not open to " + user + " from here");
    }
  }
}
