package io.saltflow.statestore;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.saltflow.journal.Backup;
import io.saltflow.journal.Damage;
import io.saltflow.journal.Disk;
import io.saltflow.journal.Journal;
import io.saltflow.journal.ReadOnly;
import io.saltflow.kv.Effect;
import io.saltflow.kv.KeyStore;
import io.saltflow.kv.Step;
import io.saltflow.protocol.Time;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What people do with a state service's folder while no process serves from it, or beside one. */
public final class Folder {
  private static final long MOST_SEGMENT = 16 << 20;
  private static final int KEYS_A_PART = 500;
  private static final Time THEN = new Time(0);

  private final Path folder;

  public Folder(Path folder) {
    this.folder = folder;
  }

  private interface PartWork {
    void run(List<Step> part) throws IOException;
  }

  private static void each(KeyStore.Copy copy, PartWork work) throws IOException {
    for (List<Step> p = copy.next(KEYS_A_PART); !p.isEmpty(); p = copy.next(KEYS_A_PART)) {
      work.run(p);
    }
  }

  private record Seen(KeyStore store, Journal journal) {}

  private Seen look(FileDisk disk) throws IOException {
    KeyStore store = new KeyStore();
    Journal j = Contents.open(new ReadOnly(disk), MOST_SEGMENT, new long[2], store, THEN);
    return new Seen(store, j);
  }

  /** Reads all of it and changes nothing; what was found, in sentences. */
  public void check(PrintStream out) throws IOException {
    try (FileDisk disk = FileDisk.reading(folder)) {
      Seen seen = look(disk);
      seen.journal.notes().forEach(out::println);
      out.println(
          seen.store.size()
              + " keys, revision "
              + seen.store.epoch()
              + ", next entry "
              + seen.journal.next()
              + ": in order");
    }
  }

  /** All keys, a line of JSON each. */
  public void dump(PrintStream out) throws IOException {
    ObjectMapper json = new ObjectMapper();
    try (FileDisk disk = FileDisk.reading(folder)) {
      KeyStore.Copy copy = look(disk).store.copy();
      each(
          copy,
          part -> {
            for (Step s : part) {
              for (Effect e : s.effects()) {
                if (e instanceof Effect.Put p) {
                  Map<String, Object> line = new LinkedHashMap<>();
                  line.put("key", p.key());
                  line.put("version", s.epoch());
                  line.put("lease", p.lease());
                  line.put("value", p.data().fields());
                  out.println(json.writeValueAsString(line));
                }
              }
            }
          });
    }
  }

  /** Gives up what is damaged, and keeps it beside; nothing to do when it is in order. */
  public void repair(PrintStream out) throws IOException {
    try (FileDisk disk = FileDisk.of(folder)) {
      for (int i = 0; i < 100; i++) {
        try {
          look(disk);
          out.println("the folder can be opened");
          return;
        } catch (Damage damage) {
          out.println(damage.getMessage());
          Journal.repair(disk, damage).forEach(out::println);
        }
      }
      throw new IOException(folder + ": could not be repaired");
    }
  }

  /** Writes the contents to a file of their own. */
  public void snapshot(Path file, PrintStream out) throws IOException {
    Path to = file.toAbsolutePath();
    if (Files.exists(to)) {
      throw new IOException(file + ": is there already");
    }
    try (FileDisk disk = FileDisk.reading(folder);
        FileDisk beside = FileDisk.reading(to.getParent())) {
      Seen seen = look(disk);
      String name = to.getFileName().toString();
      Backup backup = new Backup(beside, name + ".new", seen.journal.identity());
      KeyStore.Copy copy = seen.store.copy();
      each(copy, part -> backup.part(part.stream().map(Step::encode).toList()));
      backup.done();
      beside.rename(name + ".new", name);
      beside.syncNames();
      out.println(seen.store.size() + " keys of revision " + copy.epoch() + " are in " + file);
    }
  }

  /**
   * Makes a new store of a file's contents, with an identity of its own; the folder must be empty.
   *
   * @param identity random
   */
  public void restore(Path file, long[] identity, PrintStream out) throws IOException {
    Path from = file.toAbsolutePath();
    KeyStore store = new KeyStore();
    try (FileDisk beside = FileDisk.reading(from.getParent());
        FileDisk disk = FileDisk.of(folder)) {
      if (disk.names().stream().anyMatch(n -> !n.equals("lock"))) {
        throw new IOException(folder + ": is not empty");
      }
      long[] epoch = new long[1];
      Backup.read(
          beside,
          from.getFileName().toString(),
          bytes -> {
            Step s = Contents.step(bytes);
            epoch[0] = Math.max(epoch[0], s.epoch());
            store.apply(s, THEN);
          });
      store.restored(epoch[0]);
      // Revisions go on from there: watches of the former store are told to read again.
      write(disk, identity, store);
      out.println(store.size() + " keys of revision " + epoch[0] + " are in " + folder);
    }
  }

  private static void write(Disk disk, long[] identity, KeyStore store) throws IOException {
    Journal journal = Contents.open(disk, MOST_SEGMENT, identity, new KeyStore(), THEN);
    KeyStore.Copy copy = store.copy();
    Journal.Snapshot snapshot = journal.snapshot();
    each(copy, part -> snapshot.part(part.stream().map(Step::encode).toList()));
    snapshot.done();
  }
}
