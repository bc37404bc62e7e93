package io.saltflow.statestore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.agreement.Entry;
import io.saltflow.agreement.Kept;
import io.saltflow.agreement.Ready;
import io.saltflow.agreement.Snapshot;
import io.saltflow.journal.SimDisk;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A node of a group finds what it wrote down, whatever operation of its disk a crash came at. */
class GroupBooksTest {
  private static final List<String> GROUP = List.of("a", "b", "c");
  private static final int SAVES = 25;
  private static final int CRASHES_EACH = 3;

  /** What is kept, in words: all that a node begins with. */
  private static String words(Kept k) {
    StringBuilder out = new StringBuilder();
    Snapshot s = k.snapshot();
    out.append(k.term()).append(' ').append(k.vote()).append(" | ").append(s.index());
    out.append(' ').append(s.term()).append(' ').append(s.members()).append(' ');
    out.append(new String(s.bytes(), StandardCharsets.US_ASCII).hashCode()).append(" |");
    for (Entry e : k.entries()) {
      out.append(' ').append(e.index()).append('/').append(e.term()).append('/');
      out.append(e.members() != null ? e.members() : e.data() == null ? "-" : text(e.data()));
    }
    return out.toString();
  }

  private static String text(byte[] data) {
    return new String(data, StandardCharsets.US_ASCII);
  }

  /** A node's life: entries come, are replaced by a later leader's, and go into snapshots. */
  private static final class Life {
    final SplittableRandom random = new SplittableRandom(5);
    final List<String> kept = new ArrayList<>();
    private long term = 1;
    private Snapshot snapshot = new Snapshot(0, 0, GROUP, new byte[0]);
    private final List<Entry> log = new ArrayList<>();

    Life() {
      kept.add(words(new Kept(0, null, snapshot, List.of())));
    }

    Ready.Save next() {
      long last = snapshot.index() + log.size();
      long from = last + 1;
      if (random.nextInt(4) == 0) {
        term++;
        // What a later leader has instead.
        from -= random.nextInt(log.size() + 1);
        log.subList((int) (from - snapshot.index() - 1), log.size()).clear();
      }
      List<Entry> some = new ArrayList<>();
      for (int i = random.nextInt(4); i > 0; i--) {
        long index = from + some.size();
        some.add(
            switch (random.nextInt(5)) {
              case 0 -> new Entry(index, term, null, null);
              case 1 -> new Entry(index, term, List.of("a", "b", "c", "d"), null);
              default -> new Entry(index, term, null, ("e" + index).repeat(9).getBytes(US));
            });
      }
      log.addAll(some);
      if (random.nextInt(6) == 0 && !log.isEmpty()) {
        int n = 1 + random.nextInt(log.size());
        Entry upTo = log.get(n - 1);
        byte[] bytes = "s".repeat(random.nextInt(200_000)).getBytes(US);
        snapshot = new Snapshot(upTo.index(), upTo.term(), GROUP, bytes);
        log.subList(0, n).clear();
        from = Math.max(from, snapshot.index() + 1);
        some = List.copyOf(log.subList((int) (from - snapshot.index() - 1), log.size()));
      }
      String vote = random.nextBoolean() ? "b" : null;
      kept.add(words(new Kept(term, vote, snapshot, List.copyOf(log))));
      return new Ready.Save(term, vote, snapshot, from, some);
    }
  }

  private static final java.nio.charset.Charset US = StandardCharsets.US_ASCII;

  private static String found(SimDisk disk) throws IOException {
    return words(GroupBooks.open(disk, GROUP, new long[] {3, 4}).kept());
  }

  /** So many saves were answered when the machine stopped, or all. */
  private static int run(SimDisk disk, Life life) throws IOException {
    int answered = 0;
    try {
      GroupBooks books = GroupBooks.open(disk, GROUP, new long[] {3, 4});
      for (int i = 0; i < SAVES; i++) {
        books.save(life.next());
        answered++;
      }
    } catch (SimDisk.Crash e) {
      return answered;
    }
    return answered;
  }

  @Test
  void whatWasSavedIsThereAfterACrashAtAnyOperation() throws IOException {
    SimDisk whole = new SimDisk();
    Life undisturbed = new Life();
    assertEquals(SAVES, run(whole, undisturbed));
    assertEquals(undisturbed.kept.get(SAVES), found(whole));
    int underWay = 0;
    for (int at = 0; at < whole.operations; at++) {
      for (int seed = 0; seed < CRASHES_EACH; seed++) {
        SimDisk disk = new SimDisk();
        disk.crashAfter = at;
        Life life = new Life();
        int answered = run(disk, life);
        String then = found(disk.after(at * 31L + seed));
        boolean next = answered + 1 < life.kept.size() && then.equals(life.kept.get(answered + 1));
        underWay += next ? 1 : 0;
        assertTrue(next || then.equals(life.kept.get(answered)), "crash at operation " + at);
      }
    }
    assertTrue(underWay > 0, "a save that was not answered may be there, whole");
  }

  /** A full disk refuses a save, and takes it when there is room; nothing of the try is left. */
  @Test
  void refusedSaveCanBeTriedAgain() throws IOException {
    SimDisk disk = new SimDisk();
    GroupBooks books = GroupBooks.open(disk, GROUP, new long[] {3, 4});
    Life life = new Life();
    for (int i = 0; i < SAVES; i++) {
      Ready.Save save = life.next();
      if (i % 3 == 1) {
        disk.capacity = 0;
        assertThrows(IOException.class, () -> books.save(save));
        disk.capacity = Long.MAX_VALUE;
        books.mend();
      }
      books.save(save);
      assertEquals(life.kept.get(i + 1), words(books.kept()));
    }
    assertEquals(life.kept.get(SAVES), found(disk));
  }
}
