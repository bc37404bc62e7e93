package io.saltflow.coordination;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
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
 * The account of the night that people read in the morning. What happens to many machines or tasks
 * is one line with its count, not one a machine; a trouble that lasts is told when it begins and
 * when it is over, with how long and how bad it was. Single names are for the debug level.
 */
final class Account {
  private static final Logger LOG = LoggerFactory.getLogger(Account.class);

  /** What happens within this is told together. */
  private static final Span GATHER = Span.seconds(5);

  /** A trouble that is back within this was never over. */
  private static final Span QUIET = Span.seconds(10);

  private static final int NAMED = 3;

  /** What may last; the texts follow a count. */
  enum Trouble {
    SILENT("machines have fallen silent"),
    DEAF("machines report and hear no answer"),
    LATE_BOOT("machines are late to come up"),
    FULL("machines are as many as this controller can serve, no more are rented"),
    LATE_JOBS("jobs are past their deadline"),
    GUARANTEE("jobs within their team's guarantee wait for room"),
    SHARE("jobs wait for more of the fleet than it has for them");

    private final String text;

    Trouble(String text) {
      this.text = text;
    }
  }

  private static final class Tally {
    int count;
    int told;
    final List<String> names = new ArrayList<>();
  }

  /** A trouble of one class or team, or of all: then the name is empty. */
  private record Key(Trouble trouble, String name) {
    @Override
    public String toString() {
      return name.isEmpty() ? trouble.text : name + ": " + trouble.text;
    }
  }

  private static final class Lasting {
    final Time since;
    Time last;
    int most;
    int told;

    Lasting(Time since) {
      this.since = since;
    }
  }

  private final Consumer<String> out;
  private final Map<String, Tally> tallies = new LinkedHashMap<>();
  private final Map<Key, Lasting> lasting = new LinkedHashMap<>();
  private Time gatheringSince = Time.LONG_AGO;

  Account() {
    this(LOG::info);
  }

  Account(Consumer<String> out) {
    this.out = out;
  }

  /** Something that happens to one of many: told with its count. */
  void happened(String what, Object which) {
    happened(what, 1, which);
  }

  /** The same for several at once. */
  void happened(String what, int count, Object which) {
    LOG.debug("{}: {}", what, which);
    Tally t = tallies.computeIfAbsent(what, w -> new Tally());
    t.count += count;
    t.told++;
    if (t.names.size() < NAMED) {
      t.names.add(which.toString());
    }
  }

  /** How bad a trouble is now; 0: it is over, if it stays so. The note says what it means. */
  void level(Trouble trouble, int count, String note, Time now) {
    level(trouble, "", count, note, now);
  }

  /** The same of a trouble that each class or team has by itself. */
  void level(Trouble trouble, String name, int count, String note, Time now) {
    Key key = new Key(trouble, name);
    Lasting l = lasting.get(key);
    if (count == 0) {
      if (l != null && now.since(l.last).longerThan(QUIET)) {
        lasting.remove(key);
        String seconds = seconds(l.last.since(l.since));
        out.accept("over: " + key + "; it lasted " + seconds + " s, at most " + l.most);
      }
      return;
    }
    if (l == null) {
      l = new Lasting(now);
      lasting.put(key, l);
    }
    l.last = now;
    l.most = Math.max(l.most, count);
    // Told when it begins, and again only when it is twice as bad.
    if (count >= 2 * l.told) {
      l.told = count;
      String what = name.isEmpty() ? "" : name + ": ";
      out.accept(what + count + " " + trouble.text + (note.isEmpty() ? "" : ", " + note));
    }
  }

  /** Those of whom such a trouble was told and is not over yet. */
  Set<String> lasting(Trouble trouble) {
    Set<String> out = new LinkedHashSet<>();
    for (Key key : lasting.keySet()) {
      if (key.trouble == trouble) {
        out.add(key.name);
      }
    }
    return out;
  }

  /** Tells what was gathered. */
  void tell(Time now) {
    if (now.since(gatheringSince).compareTo(GATHER) < 0) {
      return;
    }
    gatheringSince = now;
    tallies.forEach(
        (what, t) -> {
          String more = t.told > t.names.size() ? ", ..." : "";
          out.accept(t.count + " " + what + " (" + String.join(", ", t.names) + more + ")");
        });
    tallies.clear();
  }

  private static String seconds(Span s) {
    return String.format(Locale.ROOT, "%.0f", s.toSeconds());
  }
}
