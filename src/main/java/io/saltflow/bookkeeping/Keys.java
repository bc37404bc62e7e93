package io.saltflow.bookkeeping;

import io.saltflow.protocol.JobId;

/** Where things are kept in the state service. */
final class Keys {
  static final String LEADER = "lead";
  static final String TERM = "term";
  static final String TYPES = "types";
  static final String LIVE = "live/";
  static final String OVER = "over/";
  static final String FLEET = "fleet/";
  static final String PROGRESS = "progress/";
  static final String QUEUES = "queues/";

  /** What leaders have decided and go on with: read at once by each that is elected. */
  static final String PLANS = "plan/";

  static final String MOVES = PLANS + "moves/";

  /** Mornings of queues, under QUEUE/DAY. */
  static final String READY = PLANS + "ready/";

  static final String SERVICES = "services/";

  /** What is active, and under {@link #ANNOUNCED} what each host's build can act on. */
  static final String LEVELS = "level/";

  static final String ACTIVE = LEVELS + "active";
  static final String ANNOUNCED = LEVELS + "on/";

  /** What the order rests on beside the jobs' records, and what operators did with jobs. */
  static final String BASIS = PLANS + "basis";

  static final String MOVED = PLANS + "order/";

  private Keys() {}

  static String moved(JobId id) {
    return MOVED + id.text();
  }

  static String live(JobId id) {
    return LIVE + id.text();
  }

  static String over(JobId id) {
    return OVER + id.text();
  }
}
