package io.saltflow.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The state of one node, after figure 2 of the Raft paper, which the parts of {@link Raft} share.
 */
final class NodeState {
  final String self;
  final Raft.Pace pace;

  /** Mistakes that tests plant, to see that they are noticed; none in the product. */
  final Set<Raft.Mistake> mistakes;

  final Log log;
  final Unsaved unsaved;
  long term;

  /** Whom this node voted for in this term; null: nobody yet. */
  String vote;

  Raft.Role role = Raft.Role.FOLLOWER;

  /** Who leads, as far as is known; null: nobody. */
  String leader;

  long commit;
  long applied;

  /** A snapshot that has arrived and that the state machine does not know of yet, or null. */
  Snapshot installed;

  private final List<Message> outbox = new ArrayList<>();

  NodeState(String self, Raft.Pace pace, Kept kept, Set<Raft.Mistake> mistakes) {
    this.self = self;
    this.pace = pace;
    this.mistakes = mistakes;
    log = new Log(kept.snapshot(), kept.entries());
    unsaved = new Unsaved(log.last());
    term = kept.term();
    vote = mistakes.contains(Raft.Mistake.VOTE_FORGOTTEN) ? null : kept.vote();
    commit = kept.snapshot().index();
    applied = commit;
  }

  boolean leads() {
    return role == Raft.Role.LEADER;
  }

  /** The members of the group, by the last entry that says so. */
  List<String> members() {
    return log.members(Long.MAX_VALUE);
  }

  /** All members but this node. */
  List<String> others() {
    return members().stream().filter(m -> !m.equals(self)).toList();
  }

  boolean isMember() {
    return members().contains(self);
  }

  int majority() {
    return members().size() / 2 + 1;
  }

  /** Enters a new term, in which it has not voted. */
  void enterTerm(long newTerm) {
    term = newTerm;
    vote = null;
    unsaved.headChanged();
  }

  void voteFor(String candidate) {
    vote = candidate;
    unsaved.headChanged();
  }

  void append(Entry entry) {
    log.add(entry);
    unsaved.changedFrom(entry.index());
  }

  void send(Message message) {
    outbox.add(message);
  }

  /** The messages to send since the last call. */
  List<Message> takeOutbox() {
    List<Message> messages = List.copyOf(outbox);
    outbox.clear();
    return messages;
  }
}
