package io.saltflow.store;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.store.KeyValueClient.RequestPriority;
import io.saltflow.store.KeyValueClient.StoreResponse;
import io.saltflow.transport.Routine;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Packs many small records into few keys, because the key-value store limits the number of keys
 * written, not the bytes. A write replaces a whole page, so it is guarded by the page's revision as
 * well as by the leader key: a write whose response was lost cannot take effect after a later one
 * and remove records again. Runs on the event loop.
 *
 * <p>A page that is larger than the store accepts is split. Each of its records is written to a
 * later page first, and only then is the old page written without it. A record may therefore be
 * stored on several pages; the last page in key order holds its newest form. Builds that expect one
 * page per record also use the last one.
 */
public final class PackedRecords<T> extends Routine {
  private final KeyValueClient client;
  private final Supplier<Transaction> newGuardedTransaction;
  private final String prefix;
  private final Supplier<TimeSpan> writeInterval;
  private final Supplier<MonotonicTime> clock;
  private final RecordFormat<T> format;
  private final Map<String, RecordPage<T>> pages = new LinkedHashMap<>();
  private final Map<String, RecordPage<T>> pageByRecord = new LinkedHashMap<>();
  private int nextNumber;
  private int maxPageBytes;

  /**
   * Creates a set of records that has no pages yet.
   *
   * @param newGuardedTransaction creates a transaction that is guarded by the leader key
   * @param prefix key prefix of the pages
   * @param writeInterval minimum time between two writes of the same page
   */
  public PackedRecords(
      Routine parent,
      KeyValueClient client,
      Supplier<Transaction> newGuardedTransaction,
      String prefix,
      Supplier<TimeSpan> writeInterval,
      Supplier<MonotonicTime> clock,
      RecordFormat<T> format) {
    super(parent);
    this.client = client;
    this.newGuardedTransaction = newGuardedTransaction;
    this.prefix = prefix;
    this.writeInterval = writeInterval;
    this.clock = clock;
    this.format = format;
    this.maxPageBytes = client.limits().maxValueBytes();
  }

  /** Adds a page that an earlier leader wrote, without its records. */
  public void restorePage(String key, Revision revision) {
    pages.put(key, new RecordPage<>(new GuardedKey(key, revision), format));
    nextNumber = Math.max(nextNumber, numberOf(key) + 1);
  }

  private int numberOf(String key) {
    try {
      return Integer.parseInt(key.substring(prefix.length()));
    } catch (NumberFormatException exception) {
      return -1;
    }
  }

  /** Adds a record of a restored page. Pages must be passed in key order. */
  public void restoreRecord(String key, T record) {
    RecordPage<T> page = pages.get(key);
    RecordPage<T> earlier = pageByRecord.get(format.name(record));
    if (earlier != null && earlier != page) {
      // The earlier leader ended while it moved the record. Keep the old copy until the new page is
      // written.
      earlier.leaveMovedCopy(format.name(record));
      page.markDirty();
    }
    assign(page, record);
  }

  private void assign(RecordPage<T> page, T record) {
    page.add(record);
    pageByRecord.put(format.name(record), page);
  }

  /**
   * Marks a record as new or changed.
   *
   * @param urgent whether an operation waits for its next write
   */
  public void markChanged(T record, boolean urgent) {
    updatePageLimit();
    String name = format.name(record);
    RecordPage<T> page = pageByRecord.get(name);
    if (page == null) {
      page = pageWithRoom(format.maxEncodedBytes(record), "");
      assign(page, record);
    } else if (page.mustSplit(maxPageBytes)) {
      page = moveToLaterPage(page, name);
    }
    page.markDirty();
    if (urgent) {
      page.markUrgent(name);
    }
  }

  /** Measures all pages again after a change of the limit, which may bound the record sizes. */
  private void updatePageLimit() {
    if (maxPageBytes == client.limits().maxValueBytes()) {
      return;
    }
    maxPageBytes = client.limits().maxValueBytes();
    pages.values().forEach(RecordPage::measure);
  }

  private RecordPage<T> pageWithRoom(int bytes, String afterKey) {
    for (RecordPage<T> page : pages.values()) {
      if (page.hasRoomFor(bytes, maxPageBytes) && page.key().name().compareTo(afterKey) > 0) {
        return page;
      }
    }
    String key = String.format("%s%05d", prefix, nextNumber++);
    RecordPage<T> page = new RecordPage<>(new GuardedKey(key, Revision.ABSENT), format);
    pages.put(key, page);
    return page;
  }

  /** Reassigns the record to a later page and leaves a copy on the old one. */
  private RecordPage<T> moveToLaterPage(RecordPage<T> from, String name) {
    T record = from.records().get(name);
    from.leaveMovedCopy(name);
    RecordPage<T> to = pageWithRoom(format.maxEncodedBytes(record), from.key().name());
    assign(to, record);
    to.markDirty();
    if (from.clearUrgent(name)) {
      to.markUrgent(name);
    }
    return to;
  }

  /**
   * Removes a record from its page.
   *
   * @param markDirty whether the removal itself causes a write of the page; otherwise it takes
   *     effect with the page's next write
   */
  public void remove(String name, boolean markDirty) {
    RecordPage<T> assignedPage = pageByRecord.remove(name);
    if (assignedPage == null) {
      return;
    }
    assignedPage.remove(name);
    if (markDirty) {
      assignedPage.markDirty();
    }
    for (RecordPage<T> page : pages.values()) {
      if (page.dropMovedCopy(name) && markDirty) {
        page.markDirty();
      }
    }
  }

  /** Removes all records that do not match; the removals take effect with the next page writes. */
  public void retainOnly(Predicate<T> retained) {
    for (Map.Entry<String, RecordPage<T>> entry : List.copyOf(pageByRecord.entrySet())) {
      if (!retained.test(entry.getValue().records().get(entry.getKey()))) {
        remove(entry.getKey(), false);
      }
    }
  }

  /**
   * Writes changed pages.
   *
   * @param all whether to write all changed pages; otherwise only those with urgent records
   */
  public void flush(boolean all) {
    updatePageLimit();
    splitOversizedPages(all);
    for (RecordPage<T> page : pages.values()) {
      boolean shouldWrite = page.hasUrgent() || (all && page.isDirty());
      // Changes in quick succession are written together to save write rate.
      long intervalMs = writeInterval.get().ms();
      boolean due = page.isWriteDue(clock.get(), intervalMs);
      if (shouldWrite && due && !page.key().isInFlight() && !page.mustSplit(maxPageBytes)) {
        page.onAttempt(clock.get());
        RequestPriority priority =
            page.hasUrgent() ? RequestPriority.SAFETY : RequestPriority.BACKGROUND;
        if (page.key().isRevisionUnknown()) {
          page.key().readRevision(client, priority, page.key()::onRead);
        } else {
          write(priority, page);
        }
      }
    }
  }

  /**
   * Moves urgent records from oversized pages at once. The other records are moved from one page at
   * a time, because splitting all pages after a failover would use up the write rate.
   */
  private void splitOversizedPages(boolean all) {
    boolean mayMoveExcess = all;
    for (RecordPage<T> page : List.copyOf(pages.values())) {
      if (!page.mustSplit(maxPageBytes)) {
        continue;
      }
      page.urgentNames().forEach(name -> moveToLaterPage(page, name));
      if (mayMoveExcess && moveExcessRecords(page)) {
        mayMoveExcess = false;
      }
    }
  }

  /**
   * Moves records to later pages until the others fit.
   *
   * @return whether any record was moved
   */
  private boolean moveExcessRecords(RecordPage<T> page) {
    int keptBytes = RecordPage.EMPTY_PAGE_BYTES;
    boolean moved = false;
    for (Map.Entry<String, T> entry : List.copyOf(page.records().entrySet())) {
      keptBytes += format.maxEncodedBytes(entry.getValue());
      if (keptBytes > maxPageBytes) {
        moveToLaterPage(page, entry.getKey());
        moved = true;
      }
    }
    return moved;
  }

  private void write(RequestPriority priority, RecordPage<T> page) {
    PageContent<T> content = new PageContent<>(format, page);
    if (!content.reduced().isEmpty() && !page.key().revision().equals(Revision.ABSENT)) {
      retainReduced(page, content.reduced());
      return;
    }
    Set<String> urgentNames = page.beginWrite();
    Transaction transaction = newGuardedTransaction.get().put(page.key().name(), content.body());
    page.key()
        .commit(
            client,
            priority,
            transaction,
            response -> {
              if (cancelled()) {
                return;
              }
              page.key().onCommitted(response);
              if (response.isSuccess()) {
                page.resetBackoff();
                dropMovedCopies(page, content);
              } else {
                onWriteFailed(page, urgentNames, response);
              }
              format.onWritten(content.records(), content.values(), response.isSuccess());
            });
  }

  /** Moves records whose encoded form would now lose stored data, and keeps their stored copies. */
  private void retainReduced(RecordPage<T> page, List<String> reduced) {
    for (String name : reduced) {
      if (page.records().containsKey(name)) {
        moveToLaterPage(page, name);
      }
      page.retainCopy(name);
      client
          .limits()
          .warnTooLarge(
              page.key().name(), page.maxEncodedBytes(), name + " is moved to another page");
    }
  }

  /** Drops copies on earlier pages, except those that hold more than the record's present form. */
  private void dropMovedCopies(RecordPage<T> assignedPage, PageContent<T> content) {
    for (String name : content.body().fields().keySet()) {
      if (pageByRecord.get(name) != assignedPage) {
        continue;
      }
      for (RecordPage<T> page : pages.values()) {
        if (!page.hasDroppableCopy(name)) {
          continue;
        }
        if (content.reduced().contains(name)) {
          page.retainCopy(name);
        } else {
          page.dropMovedCopy(name);
          page.markDirty();
        }
      }
    }
  }

  private void onWriteFailed(RecordPage<T> page, Set<String> urgentNames, StoreResponse response) {
    if (response.isPermanentlyRejected()) {
      page.increaseBackoff();
    }
    page.markDirty();
    for (String name : urgentNames) {
      RecordPage<T> assignedPage = pageByRecord.get(name);
      if (assignedPage != null) {
        assignedPage.markUrgent(name);
      }
    }
  }
}
