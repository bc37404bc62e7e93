package io.saltflow.queues;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The publishers of a simulation's queue whose messages become jobs, the jobs, and the violations
 * found among them. Each message has a body of its own, by which its job is told from others.
 *
 * <p>Publishers give no id, one of their own, one of the form that earlier versions assigned, or
 * one that they saw on a result.
 */
final class JobMessages {
  private static final int MAX_FORMER_MESSAGES = 6;

  /** A message by its body; its id is null if the publisher gives none. */
  private record Published(String body, String id) {}

  /** A result by its message, and how many messages had been published before it was seen. */
  private record Result(MessageNo no, String text) {}

  private static final class Job {
    final String body;
    boolean ended;

    Job(String body) {
      this.body = body;
    }
  }

  private final SplittableRandom random;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Published> messages = new LinkedHashMap<>();
  private final Set<String> chosenIds = new HashSet<>();
  private final Set<String> published = new HashSet<>();
  private final Set<String> confirmed = new HashSet<>();
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();

  /** The results seen by the id that they name, in the order in which they were seen first. */
  private final Map<String, List<Result>> results = new LinkedHashMap<>();

  /** The number of results with its id that were seen before a message was published. */
  private final Map<String, Integer> earlierResults = new HashMap<>();

  JobMessages(SplittableRandom random) {
    this.random = random;
  }

  int size() {
    return messages.size();
  }

  List<String> violations() {
    return violations;
  }

  /** Returns whether each job fails or succeeds, which its message's result must say. */
  private static boolean succeeds(String body) {
    return body.hashCode() % 2 == 0;
  }

  // ---- Records of an earlier version

  /**
   * Returns entries as an earlier version recorded them in term 1, which named a message without an
   * id by its term and number and derived the ids of jobs from these names alike. Some of the jobs
   * were admitted, and some of these have ended.
   */
  List<Entry> recordsOfEarlierVersion(long wallMs) {
    List<Entry> entries = new ArrayList<>();
    int count = 1 + random.nextInt(MAX_FORMER_MESSAGES);
    int admitted = random.nextInt(count + 1);
    for (int number = 1; number <= count; number++) {
      boolean named = random.nextBoolean();
      String id = "1-" + (named ? 1 + random.nextInt(count) : number);
      if (named && !chosenIds.add(id)) {
        continue;
      }
      Published message = new Published("former-" + number, named ? id : null);
      messages.put(message.body, message);
      earlierResults.put(message.body, 0);
      published.add(message.body);
      confirmed.add(message.body);
      entries.add(
          new Entry.Kept(
              new MessageNo(number),
              QueueSimulation.JOBS,
              id,
              named,
              wallMs,
              Message.NEVER,
              0,
              false,
              QueueSimulation.EMPTY,
              bytes(message.body)));
      if (number <= admitted) {
        MessageDigest128 digest = MessageDigest128.of("job", "/", "jobs", id);
        Job job = new Job(message.body);
        job.ended = random.nextInt(4) == 0;
        jobs.putIfAbsent(JobId.of(digest.high(), digest.low()), job);
      }
    }
    return entries;
  }

  // ---- Publishers

  void addMessage(long term) {
    String body = "job-" + messages.size();
    String id =
        switch (random.nextInt(5)) {
          case 0, 1 -> null;
          case 2 -> 1 + random.nextInt((int) term) + "-" + (1 + random.nextInt(40));
          case 3 -> seenOnResult();
          default -> body;
        };
    messages.put(body, new Published(body, id == null || chosenIds.add(id) ? id : null));
  }

  private String seenOnResult() {
    List<String> ids = new ArrayList<>(results.keySet());
    return ids.isEmpty() ? null : ids.get(random.nextInt(ids.size()));
  }

  /** Returns the bodies of the messages that are to be published now. */
  List<String> toPublish() {
    List<String> bodies = new ArrayList<>();
    for (Published message : messages.values()) {
      // Without an id, each publish is another message.
      boolean again = message.id != null && (!isConfirmed(message) || random.nextInt(50) == 0);
      if (again || !published.contains(message.body)) {
        bodies.add(message.body);
      }
    }
    return bodies;
  }

  private boolean isConfirmed(Published message) {
    return confirmed.contains(message.body);
  }

  PublishRequest publish(String body) {
    Published message = messages.get(body);
    if (published.add(body)) {
      earlierResults.put(body, results.getOrDefault(message.id, List.of()).size());
    }
    return new PublishRequest(
        QueueSimulation.JOBS, message.id, -1, QueueSimulation.EMPTY, bytes(body));
  }

  /** Handles a confirm. Returns whether the message is one of these. */
  boolean confirmed(String body, boolean recorded) {
    if (!messages.containsKey(body)) {
      return false;
    }
    confirmed.add(body);
    if (!recorded) {
      violations.add(body + " was confirmed before it was recorded");
    }
    return true;
  }

  void result(String id, MessageNo no, String text) {
    List<Result> seen = results.computeIfAbsent(id, key -> new ArrayList<>());
    Result result = new Result(no, text);
    if (!seen.contains(result)) {
      seen.add(result);
    }
  }

  // ---- Jobs

  /** Returns the job of a message, as its queue's template would. */
  static JobSpec spec(JobId id, byte[] body) {
    return new JobSpec(
        id,
        "c",
        "",
        false,
        Priority.NORMAL,
        1,
        Resources.ZERO,
        null,
        null,
        false,
        false,
        false,
        new String(body, StandardCharsets.UTF_8),
        0,
        TimeSpan.millis(0),
        TimeSpan.millis(0),
        TimeSpan.millis(0),
        null,
        List.of());
  }

  void admit(JobSpec spec) {
    if (jobs.containsKey(spec.id())) {
      return;
    }
    jobs.put(spec.id(), new Job(spec.image()));
    long count = jobs.values().stream().filter(job -> job.body.equals(spec.image())).count();
    if (count > 1) {
      violations.add(spec.image() + " ran " + count + " times");
    }
  }

  /** Ends some of the jobs, and tells a leader of those that have ended. */
  void poll(QueueCore core, double endProbability, MonotonicTime now, long wallMs) {
    for (Job job : jobs.values()) {
      job.ended |= random.nextDouble() < endProbability;
    }
    core.jobs()
        .forEach(
            (no, id) -> {
              Job job = jobs.get(id);
              if (job != null && job.ended) {
                core.jobEnded(no, succeeds(job.body), null, now, wallMs);
              }
            });
  }

  // ---- Checks

  /** Checks at the end of a run that each message ran once and has one result, its own. */
  void checkCompleted() {
    Map<String, Long> runs = new HashMap<>();
    jobs.values().forEach(job -> runs.merge(job.body, 1L, Long::sum));
    for (Published message : messages.values()) {
      if (published.contains(message.body) && isConfirmed(message)) {
        checkCompleted(message, runs.getOrDefault(message.body, 0L));
      } else if (published.contains(message.body) && message.id != null) {
        violations.add(message.body + " was never confirmed");
      }
    }
    checkResultsOfUnnamedMessages(runs);
  }

  private void checkCompleted(Published message, long runs) {
    if (runs != 1) {
      violations.add(message + " was confirmed and ran " + runs + " times");
    }
    if (message.id == null) {
      return;
    }
    List<Result> seen = results.getOrDefault(message.id, List.of());
    List<Result> own = seen.subList(earlierResults.get(message.body), seen.size());
    String expected = message.id + (succeeds(message.body) ? " done 1" : " cancelled 0");
    if (own.size() != 1 || !own.get(0).text.equals(expected)) {
      violations.add(message + " has the results " + own);
    }
  }

  private void checkResultsOfUnnamedMessages(Map<String, Long> runs) {
    long ran =
        messages.values().stream()
            .filter(message -> message.id == null && runs.containsKey(message.body))
            .count();
    long answered = 0;
    for (Map.Entry<String, List<Result>> entry : results.entrySet()) {
      int ofNamed = chosenAndPublished(entry.getKey()) ? 1 : 0;
      answered += entry.getValue().size() - ofNamed;
    }
    if (ran != answered) {
      violations.add(ran + " messages without an id ran, and " + answered + " have a result");
    }
  }

  private boolean chosenAndPublished(String id) {
    return messages.values().stream()
        .anyMatch(message -> id.equals(message.id) && published.contains(message.body));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
