package io.saltflow.reachability;

/**
 * What a worker's next report shows of the last answer to it.
 *
 * @param session the worker's session by this report
 * @param sequence its number; the protocol counts reports to other nodes too
 * @param tokenSeen whether the worker has seen the answering leader's token
 * @param launches what became of the launches that the last answer held
 */
public record Next(long session, long sequence, boolean tokenSeen, Launches launches) {
  /** Of the launches in the last answer. */
  public enum Launches {
    /** There were none. */
    NONE,
    /** At least one was carried out. */
    CARRIED_OUT,
    /** The report was made after the answer, by its number, and lists none of them. */
    NOT_LISTED
  }
}
