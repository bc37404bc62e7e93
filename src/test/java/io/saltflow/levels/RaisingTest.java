package io.saltflow.levels;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A roll of two controllers as a leader tells it, one line a look. */
class RaisingTest {
  private static final Raising.Rules RULES = new Raising.Rules(Span.seconds(60), Span.seconds(10));

  private final List<Announcement> announced = new ArrayList<>();
  private Active active = Active.UNRECORDED;
  private Raising.Watch watch = Raising.Watch.NONE;
  private long stamp = 10;

  private void announces(String host) {
    announced.removeIf(a -> a.host().equals(host));
    announced.add(new Announcement(host, Range.OURS, new Stamp(++stamp)));
  }

  private String look(double atS, String unwell, boolean untouched) {
    Raising.View view =
        new Raising.View(active, announced, Set.of("one", "two"), unwell, untouched);
    Raising.Outcome o = Raising.decide(RULES, view, watch, new Time(Math.round(atS * 1000)));
    watch = o.watch();
    if (o.decision() instanceof Raising.Decision.Write w) {
      Active n = w.next();
      active = new Active(n.raised(), n.used(), n.whole(), new Stamp(++stamp));
      return "raised " + n.raised() + ", used " + n.used();
    }
    return ((Raising.Decision.Hold) o.decision()).why();
  }

  @Test
  void everyHoldSaysItsCause() {
    assertEquals("", look(0, null, false));
    announces("one");
    assertEquals("level 3 waits: two has announced nothing", look(1, null, false));
    announces("two");
    assertEquals("level 3 waits: a takeover", look(2, "a takeover", false));
    assertEquals("level 3 waits until all have had it for long enough", look(61, null, false));
    announces("one");
    assertEquals(
        "level 3 waits until all have had it for long enough", look(62, null, false), "restarted");
    assertEquals("raised 3, used 1", look(122, null, false));
    announced.remove(0);
    assertEquals(
        "level 3 is raised and not used yet: two has announced nothing", look(123, null, false));
    announces("two");
    assertEquals("level 3 is raised and not used yet", look(124, null, false));
    assertEquals(
        "level 3 is raised and not used yet", look(134, null, false), "a lease, by theirs");
    assertEquals("raised 3, used 3", look(134.1, null, false));
    assertEquals("", look(200, null, false));
  }

  @Test
  void newStateBeginsWithWhatAllHave() {
    announces("one");
    announces("two");
    assertEquals("raised 3, used 3", look(0, "nobody has led yet", true));
  }
}
