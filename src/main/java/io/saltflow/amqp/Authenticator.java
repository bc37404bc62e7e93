package io.saltflow.amqp;

/** Authenticates the user of a connection and opens the broker session of its virtual host. */
public interface Authenticator {
  /**
   * Returns the user's name.
   *
   * @throws AmqpException if the response does not authenticate a user
   */
  String login(String mechanism, String response) throws AmqpException;

  /**
   * Returns the broker session of the virtual host for this user.
   *
   * @throws AmqpException if the user has no access or this node does not serve the queues
   */
  BrokerSession open(String user, String vhost, AmqpSession session) throws AmqpException;
}
