package io.saltflow.amqp;

/** Who may come in. */
public interface Gate {
  /** The user's name; access refused when the response does not prove it. */
  String login(String mechanism, String response) throws AmqpError;

  /** The queues of the virtual host for this user; an error says why not, or not here. */
  Desk open(String user, String vhost, Session session) throws AmqpError;
}
