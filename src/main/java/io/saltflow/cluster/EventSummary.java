package io.saltflow.cluster;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Summarizes events for the log. Events that affect many machines or tasks are logged as one line
 * with their count. A persistent condition is logged when it begins and when it ends, with its
 * duration and peak. Individual subjects are logged at debug level.
 */
public final class EventSummary {
  private static final Logger LOG = LoggerFactory.getLogger(EventSummary.class);

  /** Interval whose events are logged together. */
  private static final TimeSpan FLUSH_INTERVAL = TimeSpan.seconds(5);

  /** Delay after which a condition that has not recurred is considered over. */
  private static final TimeSpan CLEAR_DELAY = TimeSpan.seconds(10);

  private static final int MAX_EXAMPLES = 3;

  /** A condition that may last. Its text follows a count in the log line. */
  public enum PersistentCondition {
    SILENT_MACHINES("machines have fallen silent"),
    ANSWERS_LOST("machines report and hear no answer"),
    SLOW_BOOT("machines are late to come up"),
    CONTROLLER_AT_CAPACITY("machines are as many as this controller can serve, no more are rented"),
    OVERDUE_JOBS("jobs are past their deadline"),
    GUARANTEE_UNMET("jobs within their team's guarantee wait for room"),
    FAIR_SHARE_UNMET("jobs wait for more of the fleet than it has for them");

    private final String text;

    PersistentCondition(String text) {
      this.text = text;
    }
  }

  private static final class EventCount {
    int count;
    int mentions;
    final List<String> examples = new ArrayList<>();
  }

  /** A condition of one class or team. The name is empty for a condition of the whole cluster. */
  private record ConditionKey(PersistentCondition condition, String name) {
    @Override
    public String toString() {
      return name.isEmpty() ? condition.text : name + ": " + condition.text;
    }
  }

  private static final class ActiveCondition {
    final MonotonicTime since;
    MonotonicTime lastSeen;
    int peak;
    int reported;

    ActiveCondition(MonotonicTime since) {
      this.since = since;
    }
  }

  private final Consumer<String> out;
  private final Map<String, EventCount> eventCounts = new LinkedHashMap<>();
  private final Map<ConditionKey, ActiveCondition> active = new LinkedHashMap<>();
  private MonotonicTime lastFlush = MonotonicTime.LONG_AGO;

  /** Creates a summary that is written to the log at info level. */
  public EventSummary() {
    this(LOG::info);
  }

  EventSummary(Consumer<String> out) {
    this.out = out;
  }

  /**
   * Counts an event that affects one subject.
   *
   * @param event the text of the event, which follows a count in the log line
   */
  public void countEvent(String event, Object subject) {
    countEvent(event, 1, subject);
  }

  /** Counts an event that affects several subjects at once. */
  public void countEvent(String event, int count, Object subject) {
    LOG.debug("{}: {}", event, subject);
    EventCount eventCount = eventCounts.computeIfAbsent(event, key -> new EventCount());
    eventCount.count += count;
    eventCount.mentions++;
    if (eventCount.examples.size() < MAX_EXAMPLES) {
      eventCount.examples.add(subject.toString());
    }
  }

  /**
   * Updates a condition of the whole cluster.
   *
   * @param count the number of subjects affected now; the condition ends once this stays 0 for a
   *     while
   * @param note a consequence to show to operators, or an empty string
   */
  public void updateCondition(
      PersistentCondition condition, int count, String note, MonotonicTime now) {
    updateCondition(condition, "", count, note, now);
  }

  /** Updates a condition of the class or team with this name. */
  public void updateCondition(
      PersistentCondition condition, String name, int count, String note, MonotonicTime now) {
    ConditionKey key = new ConditionKey(condition, name);
    ActiveCondition current = active.get(key);
    if (count == 0) {
      if (current != null && now.since(current.lastSeen).longerThan(CLEAR_DELAY)) {
        active.remove(key);
        String seconds = seconds(current.lastSeen.since(current.since));
        out.accept("over: " + key + "; it lasted " + seconds + " s, at most " + current.peak);
      }
      return;
    }
    if (current == null) {
      current = new ActiveCondition(now);
      active.put(key, current);
    }
    current.lastSeen = now;
    current.peak = Math.max(current.peak, count);
    // Logged when the condition begins, and again only when the count has doubled.
    if (count >= 2 * current.reported) {
      current.reported = count;
      String prefix = name.isEmpty() ? "" : name + ": ";
      out.accept(prefix + count + " " + condition.text + (note.isEmpty() ? "" : ", " + note));
    }
  }

  /** Returns the names of the classes and teams for which the condition is active. */
  public Set<String> active(PersistentCondition condition) {
    Set<String> names = new LinkedHashSet<>();
    for (ConditionKey key : active.keySet()) {
      if (key.condition == condition) {
        names.add(key.name);
      }
    }
    return names;
  }

  /** Logs the events counted since the last flush if the flush interval has passed. */
  public void flush(MonotonicTime now) {
    if (now.since(lastFlush).compareTo(FLUSH_INTERVAL) < 0) {
      return;
    }
    lastFlush = now;
    eventCounts.forEach(
        (event, eventCount) -> {
          String more = eventCount.mentions > eventCount.examples.size() ? ", ..." : "";
          out.accept(
              eventCount.count
                  + " "
                  + event
                  + " ("
                  + String.join(", ", eventCount.examples)
                  + more
                  + ")");
        });
    eventCounts.clear();
  }

  private static String seconds(TimeSpan span) {
    return String.format(Locale.ROOT, "%.0f", span.toSeconds());
  }
}
