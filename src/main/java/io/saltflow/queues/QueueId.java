package io.saltflow.queues;

/** Identifies a queue by its virtual host and name. */
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
