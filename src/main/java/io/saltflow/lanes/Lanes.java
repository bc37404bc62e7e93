package io.saltflow.lanes;

import io.saltflow.protocol.JobSpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The operators' lanes, the first first; none: one for each urgency. */
public record Lanes(List<LaneRule> rules) {
  public static final Lanes NONE = new Lanes(List.of());

  /** The lane of a job that is accepted now. */
  public Lane of(JobSpec spec) {
    for (int i = 0; i < rules.size(); i++) {
      boolean last = i == rules.size() - 1;
      if (last || rules.get(i).matches(spec.jobClass(), spec.team(), spec.priority())) {
        return new Lane(i, rules.get(i).name());
      }
    }
    return Lane.of(spec.priority());
  }

  /** The lane of that name; null: there is none. */
  public Lane named(String name) {
    for (int i = 0; i < rules.size(); i++) {
      if (rules.get(i).name().equals(name)) {
        return new Lane(i, name);
      }
    }
    return null;
  }

  /** What can't be meant, each with the field that is wrong. */
  public List<String> faults() {
    List<String> out = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (int i = 0; i < rules.size(); i++) {
      LaneRule rule = rules.get(i);
      if (!names.add(rule.name())) {
        out.add("lanes[" + i + "].name: '" + rule.name() + "' is there twice");
      }
      for (int before = 0; before < i; before++) {
        if (rules.get(before).covers(rule) && !(i == rules.size() - 1 && rule.takesAll())) {
          out.add(
              "lanes["
                  + i
                  + "]: nothing comes to it, '"
                  + rules.get(before).name()
                  + "' takes all");
          break;
        }
      }
      if (rule.takesAll() && i < rules.size() - 1) {
        out.add("lanes[" + i + "]: only the last lane takes whatever no other does");
      }
    }
    return out;
  }

  /** What is doubtful at a site with these classes and teams. */
  public List<String> doubts(Set<String> classes, Set<String> teams) {
    List<String> out = new ArrayList<>();
    for (LaneRule rule : rules) {
      for (String c : rule.classes()) {
        if (!classes.contains(c)) {
          out.add("lane '" + rule.name() + "': no aim of this site names the class " + c);
        }
      }
      for (String t : rule.teams()) {
        if (!teams.contains(t)) {
          out.add("lane '" + rule.name() + "': this site has no team " + t);
        }
      }
    }
    return out;
  }
}
