package io.saltflow.bookkeeping;

import io.saltflow.protocol.Body;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Time;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Many small entries in few keys, since the state service counts keys written and not bytes. Each
 * write of a page replaces the whole, so besides the leader's key it is guarded by the page's own
 * version: an earlier write whose answer was lost can't be carried out after a later one and take
 * entries away again.
 *
 * <p>A page that is larger than the service takes is not written any more. Its entries move: each
 * is written on a later page first, and only then the old page is written without it. So an entry
 * may be found on several pages, and the last one in the order of keys is the newest: earlier
 * versions, which know of one page for each entry, take that one.
 */
final class Pages<T> extends Routine {
  private static final Span TRY = Span.millis(1500);

  /** The braces of a page. */
  private static final int FRAME = 2;

  /** After a refusal that may be for good, a page waits so many times longer at the most. */
  private static final int MOST_TIMES_LONGER = 64;

  /** How an entry is named and written, and how long its written form may get. */
  interface Form<T> {
    String name(T item);

    Object encode(T item);

    /** Bytes of JSON, with name and comma. */
    int longest(T item);

    /** Whether the written form still holds all that was recorded of the entry before. */
    boolean keeps(T item, Object value);

    /** The entries were written as given here, or perhaps not. */
    void written(List<T> items, List<Object> values, boolean ok);
  }

  private static final class Page<T> {
    final String key;
    final Map<String, T> items = new LinkedHashMap<>();

    /** Entries that have moved to later pages, where they may not be written yet. */
    final Map<String, T> copies = new LinkedHashMap<>();

    /** Copies that hold more than the entry's present form could: they stay as they are. */
    final Set<String> sealed = new HashSet<>();

    /** Entries whose next write is waited for. */
    final Set<String> urgent = new HashSet<>();

    Stamp version = Stamp.ABSENT;
    int bytes = FRAME;
    boolean dirty;
    boolean underWay;
    Time lastWrite = Time.LONG_AGO;
    boolean versionUnknown;

    /** The pause before the next write is so many times longer than usual. */
    int timesLonger = 1;

    Page(String key) {
      this.key = key;
    }

    boolean mustBeSplit(int room) {
      boolean single = items.size() + copies.size() <= 1;
      return !sealed.isEmpty() || (bytes > room && !single);
    }
  }

  private final StateClient state;
  private final Supplier<Txn> guarded;
  private final String prefix;
  private final Supplier<Span> pause;
  private final Supplier<Time> now;
  private final Form<T> form;
  private final Map<String, Page<T>> pages = new LinkedHashMap<>();
  private final Map<String, Page<T>> byName = new LinkedHashMap<>();
  private int nextNumber;
  private int room;

  /**
   * @param pause between two writes of the same page
   */
  Pages(
      Routine parent,
      StateClient state,
      Supplier<Txn> guarded,
      String prefix,
      Supplier<Span> pause,
      Supplier<Time> now,
      Form<T> form) {
    super(parent);
    this.pause = pause;
    this.now = now;
    this.state = state;
    this.guarded = guarded;
    this.prefix = prefix;
    this.form = form;
    this.room = state.limits().valueBytes();
  }

  /** A page as a former leader left it; its entries are added by {@link #loaded}. */
  void found(String key, Stamp version) {
    Page<T> page = new Page<>(key);
    page.version = version;
    pages.put(key, page);
    nextNumber = Math.max(nextNumber, numberOf(key) + 1);
  }

  private int numberOf(String key) {
    try {
      return Integer.parseInt(key.substring(prefix.length()));
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** An entry of a page that was found; pages come in the order of their keys. */
  void loaded(String key, T item) {
    Page<T> page = pages.get(key);
    Page<T> before = byName.get(form.name(item));
    if (before != null && before != page) {
      // It was on its way when the former leader ended: what both pages hold is written first.
      leaveCopy(before, form.name(item));
      page.dirty = true;
    }
    join(page, item);
  }

  private void join(Page<T> page, T item) {
    page.items.put(form.name(item), item);
    page.bytes += form.longest(item);
    byName.put(form.name(item), page);
  }

  private void leaveCopy(Page<T> page, String name) {
    page.copies.put(name, page.items.remove(name));
  }

  /** The entry is new or has changed; an urgent one is waited for. */
  void changed(T item, boolean urgent) {
    measure();
    String name = form.name(item);
    Page<T> page = byName.get(name);
    if (page == null) {
      page = withRoom(form.longest(item), "");
      join(page, item);
    } else if (page.mustBeSplit(room)) {
      page = move(page, name);
    }
    page.dirty = true;
    if (urgent) {
      page.urgent.add(name);
    }
  }

  /** The sizes count against another limit, and may be bounded by it. */
  private void measure() {
    if (room == state.limits().valueBytes()) {
      return;
    }
    room = state.limits().valueBytes();
    for (Page<T> page : pages.values()) {
      page.bytes = FRAME;
      page.items.values().forEach(item -> page.bytes += form.longest(item));
      page.copies.values().forEach(item -> page.bytes += form.longest(item));
    }
  }

  private Page<T> withRoom(int bytes, String after) {
    for (Page<T> page : pages.values()) {
      if (page.bytes + bytes <= room && page.sealed.isEmpty() && page.key.compareTo(after) > 0) {
        return page;
      }
    }
    Page<T> page = new Page<>(String.format("%s%05d", prefix, nextNumber++));
    pages.put(page.key, page);
    return page;
  }

  /** The entry's home is a later page from now on. */
  private Page<T> move(Page<T> from, String name) {
    T item = from.items.get(name);
    leaveCopy(from, name);
    Page<T> to = withRoom(form.longest(item), from.key);
    join(to, item);
    to.dirty = true;
    if (from.urgent.remove(name)) {
      to.urgent.add(name);
    }
    return to;
  }

  /** The entry is of no more use: it goes with the next write of its page. */
  void gone(String name, boolean write) {
    Page<T> page = byName.remove(name);
    if (page != null) {
      page.bytes -= form.longest(page.items.remove(name));
      page.dirty |= write;
      page.urgent.remove(name);
      for (Page<T> each : pages.values()) {
        each.dirty |= dropCopy(each, name) && write;
      }
    }
  }

  private boolean dropCopy(Page<T> page, String name) {
    T copy = page.copies.remove(name);
    page.sealed.remove(name);
    if (copy != null) {
      page.bytes -= form.longest(copy);
    }
    return copy != null;
  }

  /** Entries that are of no more use go, each with the next write of its page. */
  void keepOnly(Predicate<T> wanted) {
    for (Map.Entry<String, Page<T>> e : List.copyOf(byName.entrySet())) {
      if (!wanted.test(e.getValue().items.get(e.getKey()))) {
        gone(e.getKey(), false);
      }
    }
  }

  /** Writes pages that have changed: those that are waited for, or all. */
  void flush(boolean all) {
    measure();
    split(all);
    for (Page<T> page : pages.values()) {
      boolean wanted = !page.urgent.isEmpty() || (all && page.dirty);
      // What comes in quick succession is written together, or pages would use up the rate.
      long pauseMs = pause.get().ms() * page.timesLonger;
      boolean due = now.get().since(page.lastWrite).ms() >= pauseMs;
      if (wanted && due && !page.underWay && !page.mustBeSplit(room)) {
        page.underWay = true;
        page.lastWrite = now.get();
        StateClient.Rank rank =
            page.urgent.isEmpty() ? StateClient.Rank.BOOKS : StateClient.Rank.SAFETY;
        if (page.versionUnknown) {
          learnVersion(rank, page);
        } else {
          write(rank, page);
        }
      }
    }
  }

  /**
   * What is waited for leaves a page that can't be written at once. Of the rest, one page is taken
   * apart at a time, or a takeover would use up the rate of changes.
   */
  private void split(boolean all) {
    boolean one = all;
    for (Page<T> page : List.copyOf(pages.values())) {
      if (!page.mustBeSplit(room)) {
        continue;
      }
      List.copyOf(page.urgent).forEach(name -> move(page, name));
      if (one && moveExcess(page)) {
        one = false;
      }
    }
  }

  /** Moves entries away until the others fit; false: they do. */
  private boolean moveExcess(Page<T> page) {
    int kept = FRAME;
    boolean moved = false;
    for (Map.Entry<String, T> e : List.copyOf(page.items.entrySet())) {
      kept += form.longest(e.getValue());
      if (kept > room) {
        move(page, e.getKey());
        moved = true;
      }
    }
    return moved;
  }

  /** What a page is to hold. */
  private final class Content {
    final List<T> items = new ArrayList<>();
    final List<Object> values = new ArrayList<>();

    /** Entries of which this would hold less than was recorded. */
    final List<String> reduced = new ArrayList<>();

    final Body body = Body.of();

    Content(Page<T> page) {
      for (T item : page.items.values()) {
        Object value = put(item);
        items.add(item);
        values.add(value);
      }
      page.copies.values().forEach(this::put);
    }

    private Object put(T item) {
      Object value = form.encode(item);
      if (!form.keeps(item, value)) {
        reduced.add(form.name(item));
      }
      body.with(form.name(item), value);
      return value;
    }
  }

  private void write(StateClient.Rank rank, Page<T> page) {
    Content content = new Content(page);
    if (!content.reduced.isEmpty() && !page.version.equals(Stamp.ABSENT)) {
      // The page holds more of these than its next value could.
      page.underWay = false;
      for (String name : content.reduced) {
        if (page.items.containsKey(name)) {
          move(page, name);
        }
        page.sealed.add(name);
        state.limits().tooLarge(page.key, page.bytes, name + " goes on in another page");
      }
      return;
    }
    Set<String> urgent = Set.copyOf(page.urgent);
    page.urgent.clear();
    page.dirty = false;
    Txn txn = guarded.get().guard(page.key, page.version).put(page.key, content.body);
    state.commit(
        rank,
        txn,
        TRY,
        a -> {
          page.underWay = false;
          if (cancelled()) {
            return;
          }
          if (a.ok()) {
            page.version = new Stamp(a.revision());
            page.timesLonger = 1;
            stored(page, content);
          } else {
            notStored(page, urgent, a);
          }
          form.written(content.items, content.values, a.ok());
        });
  }

  /** Copies that earlier pages hold are of no more use, but for those that hold more. */
  private void stored(Page<T> home, Content content) {
    for (String name : content.body.fields().keySet()) {
      if (byName.get(name) != home) {
        continue;
      }
      for (Page<T> page : pages.values()) {
        if (!page.copies.containsKey(name) || page.sealed.contains(name)) {
          continue;
        }
        if (content.reduced.contains(name)) {
          page.sealed.add(name);
        } else {
          dropCopy(page, name);
          page.dirty = true;
        }
      }
    }
  }

  private void notStored(Page<T> page, Set<String> urgent, StateClient.Answer answer) {
    page.versionUnknown = answer.status() == 0 || answer.status() == 409;
    if (answer.refusedForGood()) {
      page.timesLonger = Math.min(MOST_TIMES_LONGER, page.timesLonger * 2);
    }
    page.dirty = true;
    for (String name : urgent) {
      Page<T> home = byName.get(name);
      if (home != null) {
        home.urgent.add(name);
      }
    }
  }

  /** A write that got no clear answer may have been carried out, or may yet be. */
  private void learnVersion(StateClient.Rank rank, Page<T> page) {
    state.get(
        rank,
        page.key,
        TRY,
        e -> {
          page.underWay = false;
          if (e != null) {
            page.version = e.version();
            page.versionUnknown = false;
          }
        });
  }
}
