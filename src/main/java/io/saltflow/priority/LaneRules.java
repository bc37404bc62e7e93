package io.saltflow.priority;

import io.saltflow.model.JobSpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The configured lanes in order of rank. If there are none, each priority has its own lane. */
public record LaneRules(List<LaneRule> rules) {
  /** Rules of a site without configured lanes. */
  public static final LaneRules NONE = new LaneRules(List.of());

  /** Returns the lane that a job is assigned on admission. */
  public Lane laneFor(JobSpec spec) {
    for (int i = 0; i < rules.size(); i++) {
      boolean last = i == rules.size() - 1;
      if (last || rules.get(i).matches(spec.jobClass(), spec.team(), spec.priority())) {
        return new Lane(i, rules.get(i).name());
      }
    }
    return Lane.of(spec.priority());
  }

  /** Returns the lane with this name, or {@code null} if there is none. */
  public Lane findByName(String name) {
    for (int i = 0; i < rules.size(); i++) {
      if (rules.get(i).name().equals(name)) {
        return new Lane(i, name);
      }
    }
    return null;
  }

  /** Returns the errors in the rules, each prefixed with the field of the setting. */
  public List<String> validationErrors() {
    List<String> errors = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (int i = 0; i < rules.size(); i++) {
      LaneRule rule = rules.get(i);
      if (!names.add(rule.name())) {
        errors.add("lanes[" + i + "].name: '" + rule.name() + "' is there twice");
      }
      for (int earlier = 0; earlier < i; earlier++) {
        if (rules.get(earlier).covers(rule) && !(i == rules.size() - 1 && rule.matchesAll())) {
          errors.add(
              "lanes[" + i + "]: is never reached, '" + rules.get(earlier).name() + "' takes all");
          break;
        }
      }
      if (rule.matchesAll() && i < rules.size() - 1) {
        errors.add("lanes[" + i + "]: only the last lane may match all jobs");
      }
    }
    return errors;
  }

  /** Returns the warnings for a site with these classes and teams. */
  public List<String> warnings(Set<String> classes, Set<String> teams) {
    List<String> warnings = new ArrayList<>();
    for (LaneRule rule : rules) {
      for (String jobClass : rule.classes()) {
        if (!classes.contains(jobClass)) {
          warnings.add(
              "lane '" + rule.name() + "': no objective of this site names the class " + jobClass);
        }
      }
      for (String team : rule.teams()) {
        if (!teams.contains(team)) {
          warnings.add("lane '" + rule.name() + "': this site has no team " + team);
        }
      }
    }
    return warnings;
  }
}
