package io.saltflow.amqp;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Assigns the delivery tags of a channel and holds the handles of unsettled deliveries. */
final class UnsettledDeliveries {
  private final NavigableMap<Long, Object> handles = new TreeMap<>();
  private long lastTag;

  /**
   * Returns the tag of a new delivery. The handle is kept only if the delivery must be
   * acknowledged.
   */
  long add(OutgoingDelivery delivery) {
    long tag = ++lastTag;
    if (!delivery.noAck()) {
      handles.put(tag, delivery.handle());
    }
    return tag;
  }

  /**
   * Removes and returns the handles that an acknowledgement settles.
   *
   * @param multiple whether it settles all deliveries up to the tag, or all deliveries if the tag
   *     is 0
   * @throws AmqpException PRECONDITION_FAILED for a tag that is unknown or was settled before
   */
  List<Object> settle(long tag, boolean multiple) throws AmqpException {
    List<Object> settled = new ArrayList<>();
    if (multiple) {
      NavigableMap<Long, Object> upTo = tag == 0 ? handles : handles.headMap(tag, true);
      if (tag != 0 && (tag > lastTag || tag < 0)) {
        throw unknownTag(tag);
      }
      settled.addAll(upTo.values());
      upTo.clear();
    } else {
      Object handle = handles.remove(tag);
      if (handle == null) {
        // A repeated acknowledgement is indistinguishable from one with a tag that was never
        // issued.
        throw unknownTag(tag);
      }
      settled.add(handle);
    }
    return settled;
  }

  private static AmqpException unknownTag(long tag) {
    return new AmqpException(ReplyCode.PRECONDITION_FAILED, "unknown delivery tag " + tag);
  }
}
