package io.saltflow.records;

import io.saltflow.leader.LeaderCore;
import io.saltflow.leader.LedgerEntry;
import io.saltflow.model.MachineId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.JsonSize;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.PackedRecords;
import io.saltflow.store.RecordFormat;
import io.saltflow.store.Transaction;
import io.saltflow.transport.Routine;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's machine ledger under {@code fleet/}. Each machine is recorded before it is used and
 * removed some time after it is gone.
 */
final class MachineLedger {
  private static final Logger LOG = LoggerFactory.getLogger(MachineLedger.class);

  /** Colon and comma of a JSON entry. */
  private static final int ENTRY_OVERHEAD_BYTES = 2;

  private final PackedRecords<LedgerEntry> pages;
  private LeaderCore leader;

  /**
   * Creates the ledger of a leader.
   *
   * @param guardedTransaction begins a transaction that fails if another node leads
   * @param pageInterval minimum time between two writes of the same page
   */
  MachineLedger(
      Routine parent,
      KeyValueClient store,
      Supplier<Transaction> guardedTransaction,
      Supplier<TimeSpan> pageInterval,
      Supplier<MonotonicTime> now) {
    pages =
        new PackedRecords<>(
            parent,
            store,
            guardedTransaction,
            Keys.MACHINE_LEDGER,
            pageInterval,
            now,
            new LedgerEntryCodec());
  }

  /** Encodes a machine as a list of type, zone and spot flag. */
  private final class LedgerEntryCodec implements RecordFormat<LedgerEntry> {
    @Override
    public String name(LedgerEntry entry) {
      return entry.id().text();
    }

    @Override
    public Object encode(LedgerEntry entry) {
      return Arrays.asList(entry.type(), entry.zone(), entry.spot());
    }

    @Override
    public int maxEncodedBytes(LedgerEntry entry) {
      return JsonSize.of(name(entry)) + JsonSize.of(encode(entry)) + ENTRY_OVERHEAD_BYTES;
    }

    @Override
    public boolean retainsAll(LedgerEntry entry, Object value) {
      return true;
    }

    @Override
    public void onWritten(List<LedgerEntry> items, List<Object> values, boolean ok) {
      if (ok) {
        leader.machines().onRecorded(items);
      }
    }
  }

  /** Sets the leader whose machines are recorded. */
  void setLeader(LeaderCore core) {
    leader = core;
  }

  /** Records machines before the leader uses them. */
  void recordNew() {
    for (LedgerEntry entry : leader.machines().toRecord()) {
      pages.markChanged(entry, true);
    }
    pages.flush(false);
  }

  /** Marks machines that are gone for removal by the next {@link #flush}. */
  void remove(List<MachineId> ids) {
    for (MachineId id : ids) {
      pages.remove(id.text(), true);
    }
  }

  /** Writes all changed pages. */
  void flush() {
    pages.flush(true);
  }

  /** Restores a page of an earlier leader; its machines stay on the same page. */
  void restore(InheritedRecords inherited, KeyValueClient.KeyValue page) {
    pages.restorePage(page.key(), page.revision());
    for (Map.Entry<String, Object> entry : page.value().fields().entrySet()) {
      if (entry.getValue() instanceof List<?> fields
          && fields.size() == 3
          && fields.get(0) instanceof String type
          && fields.get(1) instanceof String zone
          && fields.get(2) instanceof Boolean spot) {
        LedgerEntry machine = new LedgerEntry(new MachineId(entry.getKey()), type, zone, spot);
        inherited.addMachine(machine);
        pages.restoreRecord(page.key(), machine);
      } else {
        LOG.error("ledger page {}: cannot read machine {}", page.key(), entry.getKey());
        inherited.markLedgerIncomplete();
      }
    }
  }
}
