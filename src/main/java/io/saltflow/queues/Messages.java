package io.saltflow.queues;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The messages that are not completed, the ids of completed ones, and the positions of both in the
 * log.
 */
final class Messages implements Recorder.LiveEntries {
  /** Estimated log size of a message's entries in addition to its body and properties. */
  private static final long ENTRY_BYTES = 60;

  private static final long COMPLETED_ID_BYTES = 32;

  private final SegmentCleaner cleaner;
  private final DeduplicationWindow completedIds;
  private final TreeMap<MessageNo, Message> messages = new TreeMap<>();
  private final Map<MessageDigest128, Message> byDigest = new HashMap<>();
  private long lastNo;
  private long memoryBytes;

  Messages(SegmentCleaner cleaner, DeduplicationWindow completedIds) {
    this.cleaner = cleaner;
    this.completedIds = completedIds;
  }

  MessageNo nextNo() {
    return new MessageNo(++lastNo);
  }

  Message find(MessageNo no) {
    return messages.get(no);
  }

  /** Returns the uncompleted message with this digest, or {@code null} if there is none. */
  Message find(MessageDigest128 digest) {
    return byDigest.get(digest);
  }

  boolean isCompleted(MessageDigest128 digest) {
    return completedIds.contains(digest);
  }

  List<Message> all() {
    return new ArrayList<>(messages.values());
  }

  Collection<Message> view() {
    return messages.values();
  }

  int size() {
    return messages.size();
  }

  /** Returns the estimated memory of the uncompleted messages in bytes. */
  long memoryBytes() {
    return memoryBytes;
  }

  void add(Message message) {
    lastNo = Math.max(lastNo, message.no.number());
    messages.put(message.no, message);
    message.queue.messages++;
    memoryBytes += message.memoryBytes();
    MessageDigest128 digest = message.digest();
    if (digest != null) {
      byDigest.put(digest, message);
    }
  }

  /**
   * Removes a message that was completed or not accepted. Ignores {@code null} and unknown
   * messages.
   */
  void remove(Message message) {
    if (message == null || messages.remove(message.no) == null) {
      return;
    }
    message.queue.messages--;
    message.queue.waiting.remove(message.no);
    memoryBytes -= message.memoryBytes();
    cleaner.removeLive(message.no, message.batch);
    MessageDigest128 digest = message.digest();
    if (digest != null) {
      byDigest.remove(digest);
    }
  }

  /** Sets the batch that holds the latest full entry of a message. */
  void setBatch(Message message, long batch) {
    cleaner.moveLive(message.no, message.batch, batch);
    message.batch = batch;
  }

  /** Adds the digest of a completed message and the batch that records it. */
  void addCompleted(MessageDigest128 digest, long wallMs, long batch) {
    completedIds.put(digest, wallMs, batch);
  }

  /** Must be called after the log was replayed. */
  void sortCompletedIds() {
    completedIds.sort();
  }

  void expireCompletedIds(long wallMs) {
    completedIds.removeExpired(wallMs);
  }

  @Override
  public Entry entry(Object key) {
    if (key instanceof MessageDigest128 digest) {
      return new Entry.Known(digest, completedIds.completedAt(digest));
    }
    return messages.get((MessageNo) key).toEntry();
  }

  @Override
  public void moved(Object key, long batch) {
    if (key instanceof MessageDigest128 digest) {
      if (completedIds.contains(digest)) {
        completedIds.put(digest, completedIds.completedAt(digest), batch);
      }
    } else {
      Message message = messages.get((MessageNo) key);
      if (message != null) {
        setBatch(message, batch);
      }
    }
  }

  @Override
  public long liveBytes() {
    long contents = memoryBytes - (long) Message.OVERHEAD_BYTES * messages.size();
    return contents + ENTRY_BYTES * messages.size() + COMPLETED_ID_BYTES * completedIds.size();
  }
}
