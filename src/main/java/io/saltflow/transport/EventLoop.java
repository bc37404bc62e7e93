package io.saltflow.transport;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.processpause.ActiveClock;
import io.saltflow.processpause.PauseDetector;
import io.saltflow.processpause.ProcessPause;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A single-threaded event loop with a selector and timers. All state of the process is accessed
 * only on this thread.
 */
public final class EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

  /** Handles the readiness of a channel. */
  public interface ReadinessHandler {
    /** Handles a key that is ready. */
    void onReady(SelectionKey key) throws IOException;

    /** Called when {@link #onReady} threw an exception; the channel is unusable. */
    void onBroken(IOException cause);

    /** Returns whether this handler is dispatched before all ready handlers without priority. */
    default boolean hasPriority() {
      return false;
    }
  }

  /**
   * Maximum time for which handlers without priority delay timers and handlers with priority.
   * Without it, a burst of requests after a restart would keep the leader from renewing its lease.
   * A select call is expensive compared with a handler, so a turn is not shorter.
   */
  private static final TimeSpan MAX_DISPATCH_TURN = TimeSpan.millis(60);

  private static final int SCRATCH_BYTES = 64 * 1024;

  /**
   * Time that a worker waits for a response. After a pause at least this long, requests that
   * arrived during the pause have timed out at their clients.
   */
  private static final TimeSpan CLIENT_TIMEOUT = TimeSpan.seconds(4);

  /** Maximum time after a pause in which incoming requests count as its backlog. */
  private static final TimeSpan BACKLOG_WINDOW = TimeSpan.seconds(1);

  private record Timer(MonotonicTime due, long order, Routine owner, Runnable action)
      implements Comparable<Timer> {
    @Override
    public int compareTo(Timer timer) {
      int byDue = due.compareTo(timer.due);
      return byDue != 0 ? byDue : Long.compare(order, timer.order);
    }
  }

  private final Selector selector;
  private final LongSupplier nanos;
  private final LongSupplier wallClock;
  private final ActiveClock activeClock;
  private PauseDetector pauseDetector;
  private Consumer<ProcessPause> onPause = processPause -> {};
  private MonotonicTime backlogUntil = MonotonicTime.LONG_AGO;
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();

  /** Keys that are ready but not dispatched yet, in the order in which they became ready. */
  private final Set<SelectionKey> ready = new LinkedHashSet<>();

  private final ByteBuffer scratch = ByteBuffer.allocateDirect(SCRATCH_BYTES);
  private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
  private long timerOrder;
  private long busyNs;
  private boolean running;
  private volatile boolean stopping;

  /** Creates a loop that uses the system clocks. */
  public EventLoop() throws IOException {
    this(System::nanoTime, System::currentTimeMillis);
  }

  /**
   * Creates a loop with the given clocks, for tests.
   *
   * @param nanos the monotonic clock, in nanoseconds
   * @param wallClock the wall clock, in milliseconds
   */
  public EventLoop(LongSupplier nanos, LongSupplier wallClock) throws IOException {
    this.nanos = nanos;
    this.wallClock = wallClock;
    selector = Selector.open();
    activeClock = new ActiveClock(now());
  }

  /** Returns the current reading of the monotonic clock. */
  public MonotonicTime now() {
    return new MonotonicTime(nanos.getAsLong() / 1_000_000);
  }

  /**
   * Returns the time in which this process ran, by the monotonic clock less the time in which it
   * stood still. Whatever waits for others to act is timed by this clock: what they did meanwhile
   * has not been read yet. Not comparable with {@link #now}.
   */
  public MonotonicTime activeNow() {
    return activeClock.sample(now());
  }

  /** Returns the total time in which this process stood still, up to now. */
  public TimeSpan pausedTime() {
    activeNow();
    return activeClock.pausedTime();
  }

  /** Returns the wall clock in milliseconds. No safety property may depend on it. */
  public long wallClockMs() {
    return wallClock.getAsLong();
  }

  /**
   * Starts to detect process pauses by comparing both clocks.
   *
   * @param wallClockSkew maximum error of the wall clock
   * @param then called for each pause before anything else is dispatched
   */
  public void detectPauses(TimeSpan wallClockSkew, Consumer<ProcessPause> then) {
    pauseDetector = new PauseDetector(wallClockSkew);
    onPause = then;
  }

  /**
   * Returns whether requests that are read now probably arrived during a process pause, so that
   * their clients have timed out.
   */
  public boolean readingBacklog() {
    return now().before(backlogUntil);
  }

  /** Samples the clocks and returns whether a pause of this process was detected. */
  private boolean pauseDetected() {
    activeNow();
    if (pauseDetector == null) {
      return false;
    }
    ProcessPause pause = pauseDetector.sample(now(), wallClock.getAsLong());
    if (pause == null) {
      return false;
    }
    if (!CLIENT_TIMEOUT.longerThan(pause.length())) {
      backlogUntil = now().plus(BACKLOG_WINDOW);
    }
    runGuarded(() -> onPause.accept(pause));
    return true;
  }

  /** Returns the total time that this loop has not spent waiting for a socket or timer. */
  public TimeSpan busyTime() {
    return TimeSpan.millis(busyNs / 1_000_000);
  }

  /** Runs the action after the delay unless its owner has been cancelled by then. */
  public void schedule(TimeSpan delay, Routine owner, Runnable action) {
    timers.add(new Timer(now().plus(delay), timerOrder++, owner, action));
  }

  /** Repeats the action until its owner is cancelled. The period starts after each run. */
  public void scheduleRepeating(TimeSpan period, Routine owner, Runnable action) {
    schedule(
        period,
        owner,
        () -> {
          runGuarded(action);
          scheduleRepeating(period, owner, action);
        });
  }

  /**
   * Returns the buffer that connections of this loop read into. The next read overwrites its
   * content.
   */
  ByteBuffer scratch() {
    return scratch;
  }

  SelectionKey register(SelectableChannel channel, int ops, ReadinessHandler handler)
      throws IOException {
    return channel.register(selector, ops, handler);
  }

  /** Makes {@link #run} return. The loop may be run again. */
  public void pause() {
    running = false;
  }

  /** Runs the action on this loop's thread. May be called from any thread. */
  public void post(Runnable action) {
    posted.add(action);
    selector.wakeup();
  }

  private void runPosted() {
    for (Runnable action = posted.poll(); action != null; action = posted.poll()) {
      runGuarded(action);
    }
  }

  /** Makes {@link #run} return permanently. May be called from any thread. */
  public void stop() {
    stopping = true;
    selector.wakeup();
  }

  /** Runs until {@link #pause} or {@link #stop}. */
  public void run() throws IOException {
    running = true;
    long since = nanos.getAsLong();
    while (running && !stopping) {
      pauseDetected();
      runPosted();
      long wait = fireTimers();
      if (!running) {
        // A timer paused the loop; return without waiting.
        return;
      }
      boolean waited = wait != 0 && ready.isEmpty();
      if (waited) {
        long waitStart = nanos.getAsLong();
        busyNs += waitStart - since;
        activeNow();
        activeClock.planWait(TimeSpan.millis(wait));
        selector.select(wait);
        since = nanos.getAsLong();
      } else {
        selector.selectNow();
      }
      if (pauseDetected()) {
        // Fire overdue timers first: a request that expired during the pause must not be sent on a
        // new connection, and a late response must not be accepted.
        continue;
      }
      if (waited && selector.selectedKeys().isEmpty()) {
        backlogUntil = MonotonicTime.LONG_AGO;
      }
      dispatchReady();
    }
  }

  /** Dispatches all handlers with priority and as many of the others as fit into one turn. */
  private void dispatchReady() {
    Iterator<SelectionKey> selected = selector.selectedKeys().iterator();
    while (selected.hasNext()) {
      SelectionKey key = selected.next();
      selected.remove();
      if (((ReadinessHandler) key.attachment()).hasPriority()) {
        dispatch(key);
      } else {
        ready.add(key);
      }
    }
    MonotonicTime turnEnd = now().plus(MAX_DISPATCH_TURN);
    while (!ready.isEmpty() && !now().after(turnEnd) && !pauseDetected()) {
      Iterator<SelectionKey> next = ready.iterator();
      SelectionKey key = next.next();
      next.remove();
      dispatch(key);
    }
  }

  private void dispatch(SelectionKey key) {
    ReadinessHandler handler = (ReadinessHandler) key.attachment();
    try {
      if (key.isValid()) {
        handler.onReady(key);
      }
    } catch (IOException exception) {
      runGuarded(() -> handler.onBroken(exception));
    } catch (RuntimeException exception) {
      // Input from a peer must not terminate the process; only its connection is closed.
      LOG.error("connection handler failed, closing the connection", exception);
      runGuarded(() -> handler.onBroken(new IOException(exception)));
    }
  }

  /**
   * Fires due timers and returns the time until the next one in milliseconds, at most 1000. Returns
   * 0 if more timers may be due.
   */
  private long fireTimers() {
    for (int fired = 0; fired < 256; fired++) {
      Timer next = timers.peek();
      if (next == null) {
        return 1000;
      }
      long wait = next.due.ms() - now().ms();
      if (wait > 0) {
        return Math.min(wait, 1000);
      }
      timers.poll();
      // The process may have paused since the last timer; report that before this action runs.
      pauseDetected();
      if (next.owner == null || !next.owner.cancelled()) {
        runGuarded(next.action);
      }
    }
    return 0;
  }

  private static void runGuarded(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException exception) {
      LOG.error("scheduled action failed, the event loop continues", exception);
    }
  }
}
