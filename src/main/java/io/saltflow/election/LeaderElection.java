package io.saltflow.election;

import io.saltflow.leader.LeaderLease;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.Wire;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.LeaseClient;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Elects one leader among the controllers through the key-value store. A candidate writes the
 * leader key under a lease and increments the term in the same transaction; it leads until that
 * lease may have expired. Runs on the event loop.
 */
public final class LeaderElection extends Routine {
  static final TimeSpan REQUEST_TIMEOUT = TimeSpan.millis(1200);
  static final TimeSpan WATCH_TIMEOUT = TimeSpan.seconds(8);

  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

  /**
   * Time after which a term counts as stable, which resets the count of reacquisitions by its host.
   */
  private static final TimeSpan STABLE_TERM = TimeSpan.seconds(30);

  /**
   * Number of times in a row that a host may replace its own key before it has to let others go
   * first.
   */
  private static final long MAX_REACQUISITIONS = 2;

  /** Exceeds the time that another controller needs to be elected once there is no leader key. */
  private static final TimeSpan YIELD_DELAY = TimeSpan.seconds(1);

  private static final int RENEWALS_PER_LEASE = 5;

  /** Listener for changes of this process's leadership. */
  public interface Listener {
    /** Called when this process has become the leader, for the term in the leader lease. */
    void onLeadershipAcquired();

    /**
     * Called when this process is no longer the leader.
     *
     * @param reason reason for the log
     */
    void onLeadershipLost(String reason);
  }

  /**
   * A controller process that takes part in elections.
   *
   * @param host host of the process
   * @param leaseTtl time for which the leader key outlives the last renewal
   */
  public record Candidate(String host, TimeSpan leaseTtl) {}

  private final EventLoop loop;
  private final KeyValueClient client;
  private final Candidate candidate;
  private final LeaderLease leaderLease;
  private final Listener listener;
  private final LongSupplier random;
  private final String nonce;
  private final Campaign campaign;
  private final LeaseKeeper keeper;
  private String leaderHost;
  private Term leaderTerm = Term.NONE;
  private MonotonicTime abstainUntil = MonotonicTime.LONG_AGO;

  /**
   * Set when processes of this host ended repeatedly soon after election, to let others go first
   * once.
   */
  private boolean yieldNextElection;

  /** Number of the latest read of the leader key. Responses to earlier reads are ignored. */
  private long readSequence;

  /**
   * Creates a candidate that takes no part in elections before {@link #start}.
   *
   * @param leaderLease lease that is updated while this process leads
   * @param random source of the process's nonce and of jitter
   */
  public LeaderElection(
      Routine parent,
      EventLoop loop,
      KeyValueClient client,
      Candidate candidate,
      LeaderLease leaderLease,
      LongSupplier random,
      Listener listener) {
    super(parent);
    this.loop = loop;
    this.client = client;
    this.candidate = candidate;
    this.leaderLease = leaderLease;
    this.random = random;
    this.listener = listener;
    this.nonce = candidate.host() + "-" + Long.toHexString(random.getAsLong());
    LeaseClient leases = new LeaseClient(client);
    this.campaign = new Campaign(loop, client, leases, candidate, nonce, new CampaignOutcome());
    this.keeper =
        new LeaseKeeper(
            loop,
            client,
            leases,
            candidate.leaseTtl(),
            leaderLease,
            retry -> schedule(jitter(300, 200), retry),
            reason -> stepDown(reason, TimeSpan.millis(0)));
  }

  /** Starts to take part in elections. */
  public void start() {
    observeLeader();
    loop.scheduleRepeating(
        new TimeSpan(candidate.leaseTtl().ms() / RENEWALS_PER_LEASE), this, keeper::renew);
  }

  /** Returns the host of the leader as last known, or {@code null} if none is known. */
  public String leaderHost() {
    return leaderLease.isLeader() ? candidate.host() : leaderHost;
  }

  /** Returns the newest term that is known to have a leader. */
  public Term leaderTerm() {
    return leaderTerm;
  }

  /**
   * Records the leader that announced itself, without waiting until the key-value store reports it.
   */
  public void onLeaderAnnounced(String host, Term term) {
    if (term.compareTo(leaderTerm) > 0) {
      leaderHost = host;
      leaderTerm = term;
    }
  }

  private void schedule(TimeSpan delay, Runnable action) {
    loop.schedule(delay, this, action);
  }

  private TimeSpan jitter(long baseMs, long spreadMs) {
    return TimeSpan.millis(baseMs + Math.floorMod(random.getAsLong(), spreadMs));
  }

  /**
   * Reads the leader key and discards the response to any earlier read. The callback receives
   * {@code null} if the key cannot be read.
   */
  private void readLeaderKey(Consumer<KeyValueClient.KeyValue> callback) {
    long sequence = ++readSequence;
    client.get(
        KeyValueClient.RequestPriority.LEADERSHIP,
        Keys.LEADER,
        REQUEST_TIMEOUT,
        entry -> {
          if (!leaderLease.isLeader() && sequence == readSequence) {
            callback.accept(entry);
          }
        });
  }

  /** Reads the leader key, and starts a campaign if there is no leader. */
  private void observeLeader() {
    if (leaderLease.isLeader() || campaign.inProgress()) {
      return;
    }
    readLeaderKey(
        entry -> {
          if (entry == null) {
            schedule(jitter(300, 300), this::observeLeader);
          } else if (entry.value() == null) {
            onNoLeader();
          } else {
            onLeaderKey(entry.revision(), LeaderKey.decode(entry.value()));
          }
        });
  }

  private void onNoLeader() {
    leaderHost = null;
    if (yieldNextElection) {
      yieldNextElection = false;
      schedule(YIELD_DELAY, this::observeLeader);
      return;
    }
    startCampaign(Revision.ABSENT, 0);
  }

  private void onLeaderKey(Revision revision, LeaderKey key) {
    if (key.nonce() != null && key.nonce().startsWith(nonce + "/")) {
      // This process wrote the key but does not hold it; wait until its lease expires.
      leaderHost = null;
      schedule(jitter(300, 200), this::observeLeader);
    } else if (mayReplaceOwnKey(key)) {
      // An earlier process of this host wrote the key. It has ended, since otherwise this process
      // could not serve here, so there is no need to wait for lease expiry. Its last requests are
      // fenced by the revision of its key and by its term.
      leaderHost = null;
      startCampaign(revision, reacquisitions(key) + 1);
    } else {
      yieldNextElection = candidate.host().equals(key.host());
      followLeader(revision, key);
    }
  }

  /**
   * Limits reacquisitions, so that a host whose processes keep failing as leader does not stay
   * leader.
   */
  private boolean mayReplaceOwnKey(LeaderKey key) {
    return candidate.host().equals(key.host()) && reacquisitions(key) < MAX_REACQUISITIONS;
  }

  /** Returns how many times in a row a process of this host ended soon after its election. */
  private long reacquisitions(LeaderKey key) {
    boolean stable =
        key.acquiredAtMs() != null && loop.wallClockMs() - key.acquiredAtMs() > STABLE_TERM.ms();
    return !stable && key.reacquisitions() != null ? key.reacquisitions() : 0;
  }

  private void followLeader(Revision revision, LeaderKey key) {
    if (key.host() != null && key.term() != null) {
      if (!key.host().equals(leaderHost)) {
        LOG.info("following leader {}, term {}", key.host(), key.term());
      }
      leaderHost = key.host();
      leaderTerm = new Term(key.term());
    }
    watchLeaderKey(revision.number(), readSequence);
  }

  private void watchLeaderKey(long afterRevision, long sequence) {
    client.watch(
        Keys.LEADER,
        afterRevision,
        WATCH_TIMEOUT,
        response -> {
          if (leaderLease.isLeader() || sequence != readSequence) {
            return;
          }
          if (isUnchanged(response)) {
            watchLeaderKey(Math.max(afterRevision, response.revision()), sequence);
          } else if (response.isSuccess()) {
            observeLeader();
          } else {
            schedule(jitter(200, 200), this::observeLeader);
          }
        });
  }

  private static boolean isUnchanged(KeyValueClient.StoreResponse response) {
    try {
      return response.isSuccess() && response.body().maps(Wire.EVENTS).isEmpty();
    } catch (InvalidMessageException exception) {
      LOG.error("cannot read watch response for leader key: {}", exception.getMessage());
      return false;
    }
  }

  /**
   * Replaces the key of a leader that is presumed dead, without waiting for its lease to expire. If
   * it is alive, it sees that its key was replaced and steps down.
   */
  public void replaceFailedLeader(String failedHost) {
    if (leaderLease.isLeader() || campaign.inProgress() || !failedHost.equals(leaderHost)) {
      return;
    }
    Term failedTerm = leaderTerm;
    readLeaderKey(
        entry -> {
          if (isKeyOf(failedHost, failedTerm, entry) && !yieldNextElection) {
            LOG.info(
                "leader {} is presumed dead: acquiring leadership before its lease expires",
                failedHost);
            startCampaign(entry.revision(), 0);
          } else {
            observeLeader();
          }
        });
  }

  private static boolean isKeyOf(String host, Term term, KeyValueClient.KeyValue entry) {
    if (entry == null || entry.value() == null) {
      return false;
    }
    LeaderKey key = LeaderKey.decode(entry.value());
    return host.equals(key.host())
        && key.verifiesKey()
        && key.term() != null
        && key.term() == term.number();
  }

  /** Starts a campaign, which succeeds only if the leader key still has this revision. */
  private void startCampaign(Revision keyRevision, long reacquisitions) {
    if (loop.now().before(abstainUntil)) {
      schedule(jitter(500, 200), this::observeLeader);
      return;
    }
    campaign.start(keyRevision, reacquisitions);
  }

  private final class CampaignOutcome implements Campaign.Outcome {
    @Override
    public void onAcquired(Campaign.Acquisition acquisition) {
      leaderHost = candidate.host();
      leaderTerm = acquisition.term();
      leaderLease.onElected(acquisition.term(), acquisition.keyRevision(), acquisition.sentAt());
      LOG.info("became leader, term {}", acquisition.term());
      keeper.start(acquisition);
      listener.onLeadershipAcquired();
    }

    @Override
    public void onAbandoned(TimeSpan pause) {
      schedule(pause.plus(jitter(0, 150)), LeaderElection.this::observeLeader);
    }
  }

  /**
   * Ends this process's leadership and releases its lease.
   *
   * @param reason reason for the log
   * @param abstain time for which this process starts no campaign
   */
  public void stepDown(String reason, TimeSpan abstain) {
    if (!leaderLease.isLeader()) {
      return;
    }
    LOG.info("stepping down from term {}: {}", leaderLease.term(), reason);
    leaderLease.onLost();
    leaderHost = null;
    abstainUntil = loop.now().plus(abstain);
    keeper.release();
    listener.onLeadershipLost(reason);
    schedule(jitter(100, 100), this::observeLeader);
  }
}
