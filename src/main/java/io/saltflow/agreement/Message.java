package io.saltflow.agreement;

import java.util.List;

/** What nodes of a group tell each other. */
public sealed interface Message {
  String from();

  String to();

  long term();

  /**
   * A node would lead.
   *
   * @param pre it only asks whether it would be elected, and no term is raised for that
   * @param transfer the former leader asked it to, so that nobody need wait for a lease
   */
  record VoteAsked(
      String from,
      String to,
      long term,
      long lastIndex,
      long lastTerm,
      boolean pre,
      boolean transfer)
      implements Message {}

  /** The answer to {@link VoteAsked}. */
  record Voted(String from, String to, long term, boolean granted, boolean pre)
      implements Message {}

  /**
   * Entries behind one that both should have, and up to where all is committed.
   *
   * @param round echoed by the answer: which of the leader's sendings it answers
   */
  record Append(
      String from,
      String to,
      long term,
      long prevIndex,
      long prevTerm,
      List<Entry> entries,
      long commit,
      long round)
      implements Message {}

  /**
   * What the follower has.
   *
   * @param match up to where its log is the leader's, durably; if not ok, a place to try instead
   */
  record Appended(String from, String to, long term, boolean ok, long match, long round)
      implements Message {}

  /** A part of a snapshot, for one who lacks entries that are gone from the leader's log. */
  record Part(
      String from,
      String to,
      long term,
      long lastIndex,
      long lastTerm,
      List<String> members,
      long offset,
      byte[] bytes,
      boolean last,
      long round)
      implements Message {}

  /** How much of the snapshot up to that index the follower has: it goes on from there. */
  record PartTaken(String from, String to, long term, long lastIndex, long offset, long round)
      implements Message {}

  /** Stand for election now: the leader would give its office to you. */
  record TakeOver(String from, String to, long term) implements Message {}
}
