package io.saltflow.fairshare;

/** A group that has a share of the cluster: a job class or a team. */
public record ShareGroup(Kind kind, String name) {
  /** Kind of group; the whole cluster is divided among the groups of each kind separately. */
  public enum Kind {
    CLASS("class"),
    TEAM("team");

    private final String text;

    Kind(String text) {
      this.text = text;
    }
  }

  /** Returns the group of all jobs of a class. */
  public static ShareGroup ofClass(String name) {
    return new ShareGroup(Kind.CLASS, name);
  }

  /** Returns the group of all jobs of a team. */
  public static ShareGroup ofTeam(String name) {
    return new ShareGroup(Kind.TEAM, name);
  }

  @Override
  public String toString() {
    return kind.text + " " + name;
  }
}
