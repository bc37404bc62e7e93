package io.saltflow.kv;

import io.saltflow.protocol.Body;
import io.saltflow.protocol.Span;

/** What a step does to the store: the outcome, with all guards already judged. */
public sealed interface Effect {
  /** A key has this value; lease 0: it is under none. */
  record Put(String key, Body data, long lease) implements Effect {}

  /** A key is gone. */
  record Delete(String key) implements Effect {}

  /** A lease is granted. */
  record Grant(long lease, Span ttl) implements Effect {}

  /** A lease is over; what was attached to it is deleted by effects of its own. */
  record End(long lease) implements Effect {}
}
