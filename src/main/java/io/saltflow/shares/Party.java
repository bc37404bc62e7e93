package io.saltflow.shares;

/** Who has a least part of the fleet: a class of jobs, or a team. */
public record Party(Kind kind, String name) {
  /** The two ways in which work is shared out; each is shared out by itself. */
  public enum Kind {
    CLASS("class"),
    TEAM("team");

    private final String word;

    Kind(String word) {
      this.word = word;
    }
  }

  public static Party ofClass(String name) {
    return new Party(Kind.CLASS, name);
  }

  public static Party ofTeam(String name) {
    return new Party(Kind.TEAM, name);
  }

  @Override
  public String toString() {
    return kind.word + " " + name;
  }
}
