package io.saltflow.queues;

/** A queue's name within its virtual host. */
public record QueueId(String vhost, String name) implements Comparable<QueueId> {
  @Override
  public int compareTo(QueueId other) {
    int byHost = vhost.compareTo(other.vhost);
    return byHost != 0 ? byHost : name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return vhost.equals("/") ? name : vhost + ":" + name;
  }
}
