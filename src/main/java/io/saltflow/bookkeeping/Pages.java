package io.saltflow.bookkeeping;

import io.saltflow.protocol.Body;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Time;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Many small entries in few keys, since the state service counts keys written and not bytes. Each
 * write of a page replaces the whole, so besides the leader's key it is guarded by the page's own
 * version: an earlier write whose answer was lost can't be carried out after a later one and take
 * entries away again.
 */
final class Pages<T> extends Routine {
  private static final Span TRY = Span.millis(1500);

  /** How an entry is named and written, and how long its written form may get. */
  interface Form<T> {
    String name(T item);

    Object encode(T item);

    int longest(T item);

    /** The entries were written as given here, or perhaps not. */
    void written(List<T> items, List<Object> values, boolean ok);
  }

  private static final class Page<T> {
    final String key;
    final Map<String, T> items = new LinkedHashMap<>();
    Stamp version = Stamp.ABSENT;
    int bytes;
    boolean dirty;
    boolean urgent;
    boolean underWay;
    Time lastWrite = Time.LONG_AGO;
    boolean versionUnknown;

    Page(String key) {
      this.key = key;
    }
  }

  private final StateClient state;
  private final Supplier<Txn> guarded;
  private final String prefix;
  private final int pageBytes;
  private final Span pause;
  private final Supplier<Time> now;
  private final Form<T> form;
  private final Map<String, Page<T>> pages = new LinkedHashMap<>();
  private final Map<String, Page<T>> byName = new LinkedHashMap<>();

  Pages(
      Routine parent,
      StateClient state,
      Supplier<Txn> guarded,
      String prefix,
      int pageBytes,
      Span pause,
      Supplier<Time> now,
      Form<T> form) {
    super(parent);
    this.pause = pause;
    this.now = now;
    this.state = state;
    this.guarded = guarded;
    this.prefix = prefix;
    this.pageBytes = pageBytes;
    this.form = form;
  }

  /** A page as a former leader left it; its entries are added by {@link #loaded}. */
  void found(String key, Stamp version) {
    Page<T> page = new Page<>(key);
    page.version = version;
    pages.put(key, page);
  }

  void loaded(String key, T item) {
    join(pages.get(key), item);
  }

  private void join(Page<T> page, T item) {
    page.items.put(form.name(item), item);
    page.bytes += form.longest(item);
    byName.put(form.name(item), page);
  }

  /** The entry is new or has changed; an urgent one is waited for. */
  void changed(T item, boolean urgent) {
    Page<T> page = byName.get(form.name(item));
    if (page == null) {
      page = withRoom(form.longest(item));
      join(page, item);
    }
    page.dirty = true;
    page.urgent |= urgent;
  }

  private Page<T> withRoom(int bytes) {
    for (Page<T> page : pages.values()) {
      if (page.bytes + bytes <= pageBytes) {
        return page;
      }
    }
    String key;
    int n = pages.size();
    do {
      key = String.format("%s%05d", prefix, n++);
    } while (pages.containsKey(key));
    Page<T> page = new Page<>(key);
    pages.put(key, page);
    return page;
  }

  /** The entry is of no more use: it goes with the next write of its page. */
  void gone(String name, boolean write) {
    Page<T> page = byName.remove(name);
    if (page != null) {
      page.bytes -= form.longest(page.items.remove(name));
      page.dirty |= write;
    }
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
    for (Page<T> page : pages.values()) {
      boolean wanted = page.urgent || (all && page.dirty);
      // What comes in quick succession is written together, or pages would use up the rate.
      if (wanted && !page.underWay && now.get().since(page.lastWrite).compareTo(pause) >= 0) {
        page.underWay = true;
        page.lastWrite = now.get();
        StateClient.Rank rank = page.urgent ? StateClient.Rank.SAFETY : StateClient.Rank.BOOKS;
        if (page.versionUnknown) {
          learnVersion(rank, page);
        } else {
          write(rank, page);
        }
      }
    }
  }

  private void write(StateClient.Rank rank, Page<T> page) {
    boolean wasUrgent = page.urgent;
    page.urgent = false;
    page.dirty = false;
    List<T> items = new ArrayList<>(page.items.values());
    List<Object> values = new ArrayList<>(items.size());
    Body body = Body.of();
    for (T item : items) {
      Object value = form.encode(item);
      values.add(value);
      body.with(form.name(item), value);
    }
    Txn txn = guarded.get().guard(page.key, page.version).put(page.key, body);
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
          } else {
            page.versionUnknown = a.status() == 0 || a.status() == 409;
            page.dirty = true;
            page.urgent |= wasUrgent;
          }
          form.written(items, values, a.ok());
        });
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
