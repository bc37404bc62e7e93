package io.saltflow.standin;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the stand-in's contents in one file, so that what was accepted outlives the process. Each
 * record is its length, its CRC-32C and a MessagePack map, and is synced before it is answered. At
 * opening a torn last record is cut off, and the file is written anew with what is still there.
 */
public final class StateLog implements StateStore.Journal, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(StateLog.class);
  private static final String NAME = "state.log";
  private static final int HEAD = 8;
  private static final int MOST_RECORD = 64 << 20;

  private final FileChannel lockFile;
  private final FileChannel file;
  private final Map<String, StateStore.Write> former;
  private final long formerEpoch;
  private boolean broken;

  private StateLog(
      FileChannel lockFile,
      FileChannel file,
      Map<String, StateStore.Write> former,
      long formerEpoch) {
    this.lockFile = lockFile;
    this.file = file;
    this.former = former;
    this.formerEpoch = formerEpoch;
  }

  /** Opens the folder's log; an error when it can't be read or written, or is in use. */
  public static StateLog open(Path folder) throws IOException {
    try {
      return opened(folder);
    } catch (FileSystemException e) {
      String reason = e.getReason() == null ? e.getClass().getSimpleName() : e.getReason();
      throw new IOException(e.getFile() + ": can't be used: " + reason, e);
    }
  }

  private static StateLog opened(Path folder) throws IOException {
    Files.createDirectories(folder);
    FileChannel lockFile =
        FileChannel.open(
            folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    lock(lockFile, folder);
    Path path = folder.resolve(NAME);
    Map<String, StateStore.Write> found = new LinkedHashMap<>();
    long epoch = Files.exists(path) ? read(path, found) : 1;
    Path fresh = folder.resolve(NAME + ".new");
    FileChannel file =
        FileChannel.open(
            fresh,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING);
    StateLog log = new StateLog(lockFile, file, found, epoch);
    log.append(epoch, new ArrayList<>(found.values()));
    Files.move(fresh, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    return log;
  }

  private static void lock(FileChannel lockFile, Path folder) throws IOException {
    FileLock lock;
    try {
      lock = lockFile.tryLock();
    } catch (OverlappingFileLockException e) {
      lock = null;
    }
    if (lock == null) {
      lockFile.close();
      throw new IOException(folder + ": in use by another process");
    }
  }

  /** What a former process left. */
  public void restore(StateStore store, Time now) {
    store.restore(formerEpoch, new ArrayList<>(former.values()), now);
  }

  private static long read(Path path, Map<String, StateStore.Write> found) throws IOException {
    ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(path));
    long epoch = 1;
    while (in.remaining() >= HEAD) {
      int start = in.position();
      int length = in.getInt();
      int sum = in.getInt();
      if (length < 0 || length > in.remaining()) {
        in.position(start);
        break;
      }
      byte[] bytes = new byte[length];
      in.get(bytes);
      if (crc(bytes) != sum) {
        if (in.hasRemaining()) {
          throw new IOException(path + ": damaged at byte " + start + ", records follow");
        }
        in.position(start);
        break;
      }
      try {
        epoch = replay(MsgPack.decode(bytes), found);
      } catch (BadMessage e) {
        throw new IOException(path + ": record at byte " + start + ": " + e.getMessage());
      }
    }
    if (in.hasRemaining()) {
      LOG.warn(
          "{}: {} bytes of a record that was never answered are cut off", path, in.remaining());
    }
    return epoch;
  }

  private static int crc(byte[] bytes) {
    CRC32C crc = new CRC32C();
    crc.update(bytes);
    return (int) crc.getValue();
  }

  private static long replay(Body record, Map<String, StateStore.Write> found) throws BadMessage {
    for (Body w : record.maps(Wire.WRITES)) {
      String put = w.textOr(Wire.PUT, null);
      if (put == null) {
        found.remove(w.text(Wire.DELETE));
      } else {
        long ttl = w.integerOr(Wire.TTL_MS, 0);
        found.put(
            put,
            new StateStore.Write(
                put,
                w.map(Wire.VALUE),
                w.integerOr(Wire.LEASE, 0),
                ttl == 0 ? null : new Span(ttl)));
      }
    }
    return record.integer(Wire.REVISION);
  }

  @Override
  public void append(long epoch, List<StateStore.Write> writes) throws IOException {
    if (broken) {
      throw new IOException("an earlier write failed");
    }
    List<Object> list = new ArrayList<>(writes.size());
    for (StateStore.Write w : writes) {
      Body b = Body.of();
      if (w.data() == null) {
        b.with(Wire.DELETE, w.key());
      } else {
        b.with(Wire.PUT, w.key()).with(Wire.VALUE, w.data());
      }
      list.add(w.ttl() == null ? b : b.with(Wire.LEASE, w.lease()).with(Wire.TTL_MS, w.ttl().ms()));
    }
    byte[] bytes = MsgPack.encode(Body.of().with(Wire.REVISION, epoch).with(Wire.WRITES, list));
    if (bytes.length > MOST_RECORD) {
      throw new IOException("the contents are too large for this stand-in");
    }
    ByteBuffer out = ByteBuffer.allocate(HEAD + bytes.length);
    out.putInt(bytes.length).putInt(crc(bytes)).put(bytes).flip();
    long before = file.position();
    try {
      while (out.hasRemaining()) {
        file.write(out);
      }
      file.force(false);
    } catch (IOException e) {
      // Half a record must not be followed by others: it is cut off, or nothing is written again.
      LOG.error("the state can't be written down: {}; writes are refused", e.getMessage());
      broken = !cutBack(before);
      throw e;
    }
  }

  /** Whether the file ends where it did before the failed write, durably. */
  private boolean cutBack(long size) {
    try {
      file.truncate(size);
      file.position(size);
      file.force(false);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public void close() throws IOException {
    file.close();
    lockFile.close();
  }
}
