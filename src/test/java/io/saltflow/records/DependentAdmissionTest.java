package io.saltflow.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Revision;
import io.saltflow.priority.AdmissionPosition;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import io.saltflow.records.AdmissionSimulation.Fault;
import io.saltflow.records.AdmissionSimulation.Stage;
import io.saltflow.store.Keys;
import io.saltflow.store.Transaction;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards the admission of dependent jobs on several nodes against dependencies that change their
 * stage during the submission, and against rejected, delayed and unanswered requests.
 */
class DependentAdmissionTest {
  private static final JobId DEPENDENCY = new JobId("req-000001");
  private static final JobId DEPENDENT = new JobId("req-000002");

  private static final List<List<Stage>> LIFECYCLES =
      List.of(
          List.of(Stage.NONE, Stage.LIVE, Stage.DONE),
          List.of(Stage.NONE, Stage.BATCHED, Stage.LIVE, Stage.DONE),
          List.of(Stage.LIVE, Stage.CANCELLED),
          List.of(Stage.BATCHED, Stage.LIVE, Stage.CANCELLED),
          List.of(Stage.BATCHED, Stage.CANCELLED));

  /** One more than the maximum number of requests that a submission without faults sends. */
  private static final int REQUEST_COUNT = 9;

  private static JobId id(int number) {
    return new JobId(String.format("req-%06d", number));
  }

  /**
   * One submission, which is repeated at alternating nodes until it is answered.
   *
   * @param start index of the dependency's stage at the time of the submission
   * @param changeAt number of the request before which the dependency's stage changes
   * @param changes number of stages by which the dependency advances
   * @param faultAt number of the request into which the fault is injected
   */
  private record Scenario(
      List<Stage> stages, int start, int changeAt, int changes, int faultAt, Fault fault) {

    /** Returns a description of the first inconsistency, or {@code null} if there is none. */
    String run() throws IOException, InvalidMessageException {
      try (AdmissionSimulation simulation = new AdmissionSimulation(8)) {
        List<JobRepository> nodes =
            List.of(simulation.newNode("a"), simulation.newNode("b"), simulation.newNode("c"));
        for (int i = 0; i <= start; i++) {
          simulation.setStage(DEPENDENCY, stages.get(i));
        }
        int end = Math.min(stages.size() - 1, start + changes);
        simulation.runBefore(
            changeAt,
            () -> {
              for (int i = start + 1; i <= end; i++) {
                simulation.setStage(DEPENDENCY, stages.get(i));
              }
            });
        simulation.injectFault(faultAt, fault);
        JobSpec spec = AdmissionSimulation.spec(DEPENDENT, List.of(DEPENDENCY));
        JobOutcome outcome = null;
        int attempts = 0;
        while (outcome == null || outcome instanceof JobOutcome.Unknown) {
          if (attempts == 4) {
            return "no conclusive outcome after " + attempts + " attempts";
          }
          outcome = simulation.admit(nodes.get(attempts++ % 2), spec);
        }
        if (fault == null && attempts > 1) {
          return "more than one attempt without a fault";
        }
        Stage now = simulation.eventRan() ? stages.get(end) : stages.get(start);
        simulation.deliverDelayed();
        String inconsistency = findInconsistency(simulation, outcome, now);
        for (JobRepository node : nodes) {
          inconsistency =
              inconsistency == null
                  ? findLaterInconsistency(simulation, node, outcome)
                  : inconsistency;
        }
        return inconsistency;
      }
    }

    private String findInconsistency(AdmissionSimulation simulation, JobOutcome outcome, Stage now)
        throws InvalidMessageException {
      Stage before = stages.get(start);
      boolean cancelled = simulation.endRecord(DEPENDENT) != null;
      List<JobId> dependencies = simulation.recordedDependencies(DEPENDENT);
      if (outcome instanceof JobOutcome.NeverAccepted) {
        if (before != Stage.NONE) {
          return "refused by a stale lookup: the dependency was " + before + " at submission";
        }
        return cancelled || dependencies != null ? "refused, but recorded" : null;
      }
      if (before == Stage.NONE && now == Stage.NONE) {
        return "accepted, but its dependency was never accepted: " + outcome;
      }
      if (cancelled) {
        boolean listed = dependencies != null && !simulation.isBatched(DEPENDENT);
        return now != Stage.CANCELLED || listed
            ? "cancelled without a cancelled dependency or still listed as live: " + now
            : null;
      }
      if (dependencies == null) {
        return "accepted, but not recorded: " + outcome;
      }
      if (dependencies.isEmpty() && now != Stage.DONE) {
        return "recorded without dependencies, but its dependency is " + now;
      }
      if (before == Stage.CANCELLED) {
        return "recorded as live, but its dependency was cancelled before the submission";
      }
      return dependencies.isEmpty() || dependencies.equals(List.of(DEPENDENCY))
          ? null
          : "recorded dependencies " + dependencies;
    }

    /** Checks that a repeated submission and a lookup at any node agree with the first outcome. */
    private String findLaterInconsistency(
        AdmissionSimulation simulation, JobRepository node, JobOutcome outcome) throws IOException {
      if (outcome instanceof JobOutcome.NeverAccepted) {
        return simulation.find(node, DEPENDENT) instanceof JobOutcome.Absent
            ? null
            : "refused, but found later";
      }
      boolean ended = simulation.endRecord(DEPENDENT) != null;
      JobPhase phase = ended ? JobPhase.CANCELLED : JobPhase.LIVE;
      JobOutcome known = new JobOutcome.Found(new JobStatus(DEPENDENT, phase, 0));
      // Some of the nodes have not seen the job.
      JobOutcome again =
          simulation.admit(node, AdmissionSimulation.spec(DEPENDENT, List.of(id(777))));
      if (!known.equals(again)) {
        return "first outcome " + outcome + ", repeated submission " + again;
      }
      JobOutcome found = simulation.find(node, DEPENDENT);
      return known.equals(found) ? null : "first outcome " + outcome + ", later lookup " + found;
    }
  }

  private static List<String> runAll(List<Scenario> scenarios)
      throws IOException, InvalidMessageException {
    List<String> inconsistencies = new ArrayList<>();
    for (Scenario each : scenarios) {
      String fault = each.run();
      if (fault != null) {
        inconsistencies.add(fault + ": " + each);
      }
    }
    return inconsistencies;
  }

  /** Guards against decisions on stages that changed between two requests of the submission. */
  @Test
  void admissionIsConsistentWhenDependencyChangesDuringLookup()
      throws IOException, InvalidMessageException {
    List<Scenario> scenarios = new ArrayList<>();
    for (List<Stage> stages : LIFECYCLES) {
      for (int start = 0; start < stages.size(); start++) {
        scenarios.add(new Scenario(stages, start, REQUEST_COUNT, 0, REQUEST_COUNT, null));
        for (int changes = 1; start + changes < stages.size(); changes++) {
          for (int at = 0; at < REQUEST_COUNT; at++) {
            scenarios.add(new Scenario(stages, start, at, changes, REQUEST_COUNT, null));
          }
        }
      }
    }
    assertEquals(List.of(), runAll(scenarios));
    assertEquals(140, scenarios.size());
  }

  /** Guards against inconsistent outcomes when any single request of the submission fails. */
  @Test
  void admissionIsConsistentWhenRequestFails() throws IOException, InvalidMessageException {
    List<Scenario> scenarios = new ArrayList<>();
    for (List<Stage> stages : LIFECYCLES) {
      for (int start = 0; start < stages.size(); start++) {
        for (Fault fault : Fault.values()) {
          for (int at = 0; at < REQUEST_COUNT; at++) {
            scenarios.add(new Scenario(stages, start, REQUEST_COUNT, 0, at, fault));
          }
        }
      }
    }
    assertEquals(504, scenarios.size());
    assertEquals(List.of(), runAll(scenarios));
  }

  /** Guards against a dependency that changes between an unanswered request and its retry. */
  @Test
  void admissionIsConsistentWhenDependencyChangesBeforeRetry()
      throws IOException, InvalidMessageException {
    List<Scenario> scenarios = new ArrayList<>();
    for (List<Stage> stages : LIFECYCLES) {
      for (int start = 0; start + 1 < stages.size(); start++) {
        for (int at = 0; at < 4; at++) {
          scenarios.add(new Scenario(stages, start, at + 1, stages.size(), at, Fault.ANSWER_LOST));
          scenarios.add(new Scenario(stages, start, at + 1, stages.size(), at, Fault.DELAYED));
        }
      }
    }
    assertEquals(List.of(), runAll(scenarios));
  }

  /**
   * Guards against a lookup in flight that answers a later submission, although another node
   * accepted the dependency in between.
   */
  @Test
  void lookupInFlightIsNotSharedWithLaterSubmission() throws IOException {
    for (int request = 0; request < 3; request++) {
      try (AdmissionSimulation simulation = new AdmissionSimulation(8)) {
        JobRepository node = simulation.newNode("a");
        List<JobOutcome> outcomes = new ArrayList<>();
        simulation.runAfter(
            request,
            () -> {
              simulation.setStage(DEPENDENCY, Stage.LIVE);
              node.admit(
                  AdmissionSimulation.spec(DEPENDENT, List.of(DEPENDENCY)), 5, outcomes::add);
            });
        node.admit(AdmissionSimulation.spec(id(9), List.of(DEPENDENCY)), 5, outcome -> {});
        simulation.runUntil(() -> !outcomes.isEmpty());
        assertEquals(List.of(new JobOutcome.Created(DEPENDENT)), outcomes);
      }
    }
  }

  /** Guards against cancelling a job that another node records during the submission. */
  @Test
  void jobAcceptedByAnotherNodeDuringSubmissionIsNotCancelled() throws IOException {
    int cancelled = 0;
    for (int request = 0; request < 8; request++) {
      for (Stage stage : List.of(Stage.BATCHED, Stage.LIVE)) {
        try (AdmissionSimulation simulation = new AdmissionSimulation(8)) {
          simulation.setStage(DEPENDENCY, Stage.LIVE);
          simulation.setStage(DEPENDENCY, Stage.CANCELLED);
          boolean[] ended = new boolean[1];
          simulation.runBefore(
              request,
              () -> {
                ended[0] = simulation.endRecord(DEPENDENT) != null;
                if (!ended[0]) {
                  simulation.setStage(DEPENDENT, stage);
                }
              });
          JobSpec spec = AdmissionSimulation.spec(DEPENDENT, List.of(DEPENDENCY));
          JobOutcome outcome = simulation.admit(simulation.newNode("a"), spec);
          boolean end = simulation.endRecord(DEPENDENT) != null;
          cancelled += end ? 1 : 0;
          JobStatus live = new JobStatus(DEPENDENT, JobPhase.LIVE, 0);
          JobOutcome expected =
              end ? new JobOutcome.CreatedCancelled(DEPENDENT) : new JobOutcome.Found(live);
          assertEquals(expected, outcome, stage + " before request " + request);
          // The guards cover only the job's own records. A batch written after the last lookup is
          // another submission of the same job, which may also be cancelled.
          boolean own = stage == Stage.LIVE && simulation.eventRan();
          assertFalse(end && own, stage + " before request " + request);
        }
      }
    }
    assertTrue(cancelled > 0, "no run cancelled the job");
  }

  /** Guards the precedence of dependency states, absent first and then unknown. */
  @Test
  void decisionFollowsPrecedenceOfDependencyStates() {
    assertEquals(
        new DependentAdmission.AdmissionDecision.Accept(List.of(id(2))),
        decide(DependencyState.DONE, DependencyState.LIVE, DependencyState.DONE));
    assertEquals(
        new DependentAdmission.AdmissionDecision.Accept(List.of()),
        decide(DependencyState.DONE, DependencyState.DONE));
    assertEquals(
        new DependentAdmission.AdmissionDecision.AcceptCancelled(),
        decide(DependencyState.LIVE, DependencyState.CANCELLED, DependencyState.DONE));
    assertEquals(
        new DependentAdmission.AdmissionDecision.Undecided(),
        decide(DependencyState.CANCELLED, DependencyState.UNKNOWN));
    assertEquals(
        new DependentAdmission.AdmissionDecision.Refuse(id(3)),
        decide(DependencyState.UNKNOWN, DependencyState.CANCELLED, DependencyState.ABSENT));
  }

  private static DependentAdmission.AdmissionDecision decide(DependencyState... states) {
    Map<JobId, DependencyState> all = new LinkedHashMap<>();
    for (DependencyState each : states) {
      all.put(id(all.size() + 1), each);
    }
    return DependentAdmission.decide(all);
  }

  private static List<JobId> ids(int from, int to) {
    return IntStream.range(from, to).mapToObj(DependentAdmissionTest::id).toList();
  }

  /** Guards against one request for each dependency, even with small transactions. */
  @Test
  void maximumDependenciesAreLookedUpInFewRequests() throws IOException, InvalidMessageException {
    try (AdmissionSimulation simulation = new AdmissionSimulation(4)) {
      ids(0, 32).forEach(id -> simulation.setStage(id, Stage.LIVE));
      simulation.setStage(id(7), Stage.DONE);
      JobRepository node = simulation.newNode("a");
      JobSpec spec = AdmissionSimulation.spec(id(100), ids(0, 32));
      assertEquals(new JobOutcome.Created(id(100)), simulation.admit(node, spec));
      assertEquals(31, simulation.recordedDependencies(id(100)).size());
      assertFalse(simulation.recordedDependencies(id(100)).contains(id(7)));
      // Four comparisons of eight jobs, one read of an end record, and the write of the record.
      assertEquals(6, simulation.requests.size(), simulation.requests.toString());
    }
  }

  /** Guards against more than one lookup request for a dependency that another node accepted. */
  @Test
  void singleDependencyIsLookedUpInOneRequest() throws IOException, InvalidMessageException {
    try (AdmissionSimulation simulation = new AdmissionSimulation(8)) {
      simulation.setStage(DEPENDENCY, Stage.LIVE);
      JobSpec spec = AdmissionSimulation.spec(DEPENDENT, List.of(DEPENDENCY));
      simulation.admit(simulation.newNode("a"), spec);
      assertEquals(List.of("POST /multi", "POST /multi"), simulation.requests);
    }
  }

  /** Guards against a lookup for each of 200 simultaneous submissions with one dependency. */
  @Test
  void simultaneousDependentsShareOneLookup() throws IOException, InvalidMessageException {
    try (AdmissionSimulation simulation = new AdmissionSimulation(8)) {
      simulation.setStage(id(0), Stage.LIVE);
      JobRepository node = simulation.newNode("a");
      List<JobOutcome> outcomes = new ArrayList<>();
      for (JobId each : ids(1, 201)) {
        node.admit(AdmissionSimulation.spec(each, List.of(id(0))), 5, outcomes::add);
      }
      simulation.runUntil(() -> outcomes.size() == 200);
      assertTrue(outcomes.stream().allMatch(outcome -> outcome instanceof JobOutcome.Created));
      // One lookup, about 15 individual records, and batches of about ten jobs.
      assertTrue(simulation.requests.size() < 45, simulation.requests.size() + " requests");
      for (JobId each : ids(1, 201)) {
        assertEquals(List.of(id(0)), simulation.recordedDependencies(each));
      }
    }
  }

  /** Guards against lookups that queue up without a bound. */
  @Test
  void lookupsBeyondLimitReturnUnknown() throws IOException {
    try (AdmissionSimulation simulation = new AdmissionSimulation(8)) {
      JobRepository node = simulation.newNode("a");
      List<JobOutcome> outcomes = new ArrayList<>();
      for (int n = 0; n < 20; n++) {
        List<JobId> dependencies = ids(1000 + 32 * n, 1032 + 32 * n);
        node.admit(AdmissionSimulation.spec(id(n), dependencies), 5, outcomes::add);
      }
      simulation.runUntil(() -> outcomes.size() == 20);
      long unknown =
          outcomes.stream().filter(outcome -> outcome instanceof JobOutcome.Unknown).count();
      assertTrue(unknown >= 12, outcomes.toString());
      long refused =
          outcomes.stream().filter(outcome -> outcome instanceof JobOutcome.NeverAccepted).count();
      assertEquals(20, unknown + refused);
    }
  }

  /** Guards against treating a job as absent when an unreadable batch may contain it. */
  @Test
  void dependencyIsUnknownWhileBatchIsUnreadable() throws IOException {
    try (AdmissionSimulation simulation = new AdmissionSimulation(8)) {
      MessageBody unreadable = MessageBody.of().with("torn", MessageBody.of());
      simulation.commit(new Transaction().put(SubmissionBatch.key("torn"), unreadable));
      JobRepository node = simulation.newNode("a");
      JobSpec spec = AdmissionSimulation.spec(DEPENDENT, List.of(DEPENDENCY));
      assertEquals(new JobOutcome.Unknown(), simulation.admit(node, spec));
      MessageBody pending = AdmissionSimulation.record(DEPENDENT, List.of(DEPENDENCY));
      simulation.commit(new Transaction().put(Keys.liveJob(DEPENDENT), pending));
      assertNull(orphans(simulation, node));
    }
  }

  /**
   * Guards against cancelling a batched job when its repeated submission names a cancelled job. It
   * is already accepted, and only the leader may cancel it.
   */
  @Test
  void batchedJobIsNotCancelledByRepeatedSubmission() throws IOException, InvalidMessageException {
    try (AdmissionSimulation simulation = new AdmissionSimulation(8)) {
      simulation.setStage(DEPENDENT, Stage.BATCHED);
      simulation.setStage(DEPENDENCY, Stage.LIVE);
      simulation.setStage(DEPENDENCY, Stage.CANCELLED);
      JobRepository node = simulation.newNode("a");
      JobSpec spec = AdmissionSimulation.spec(DEPENDENT, List.of(DEPENDENCY));
      JobStatus live = new JobStatus(DEPENDENT, JobPhase.LIVE, 0);
      assertEquals(new JobOutcome.Found(live), simulation.admit(node, spec));
      assertNull(simulation.endRecord(DEPENDENT));
    }
  }

  /** Guards against a pending dependent job that its user cannot cancel. */
  @Test
  void pendingDependentJobCanBeCancelledByUser() throws IOException {
    try (AdmissionSimulation simulation = new AdmissionSimulation(8)) {
      simulation.setStage(DEPENDENCY, Stage.LIVE);
      JobRepository node = simulation.newNode("a");
      simulation.admit(node, AdmissionSimulation.spec(DEPENDENT, List.of(DEPENDENCY)));
      List<JobOutcome> outcomes = new ArrayList<>();
      simulation.newNode("b").cancel(DEPENDENT, outcomes::add);
      simulation.runUntil(() -> !outcomes.isEmpty());
      JobStatus end = new JobStatus(DEPENDENT, JobPhase.CANCELLED, 0);
      assertEquals(List.of(new JobOutcome.Found(end)), outcomes);
      assertEquals(new JobOutcome.Found(end), simulation.find(node, DEPENDENT));
    }
  }

  /** Reads a record as a version without dependencies does, by its field {@code spec}. */
  private static JobSpec decodeAsEarlierVersion(MessageBody record) throws InvalidMessageException {
    return JobCodec.decode(record.map("spec"));
  }

  /**
   * Guards against a leader without dependency support that starts a job with open dependencies. A
   * job whose dependencies are all done has an ordinary record, which such a leader may run.
   */
  @Test
  void recordWithOpenDependenciesIsUnreadableForEarlierVersion()
      throws IOException, InvalidMessageException {
    try (AdmissionSimulation simulation = new AdmissionSimulation(8)) {
      simulation.setStage(id(0), Stage.LIVE);
      JobRepository node = simulation.newNode("a");
      simulation.admit(node, AdmissionSimulation.spec(DEPENDENT, List.of(id(0))));
      MessageBody pending = simulation.liveRecord(DEPENDENT);
      InvalidMessageException refused =
          assertThrows(InvalidMessageException.class, () -> decodeAsEarlierVersion(pending));
      assertTrue(refused.getMessage().startsWith("spec"), refused.getMessage());
      MessageBody unpacked =
          AdmissionSimulation.roundTrip(
              JobRecordCodec.withPosition(pending, new AdmissionPosition(3, 1)));
      assertThrows(InvalidMessageException.class, () -> decodeAsEarlierVersion(unpacked));
      LiveJobRecord read = JobRecordCodec.decode(unpacked, Revision.ABSENT);
      assertEquals(List.of(id(0)), read.spec().dependencies());
      assertEquals(new AdmissionPosition(3, 1), read.position());

      simulation.setStage(id(0), Stage.DONE);
      simulation.admit(node, AdmissionSimulation.spec(id(9), List.of(id(0))));
      JobSpec ordinary = decodeAsEarlierVersion(simulation.liveRecord(id(9)));
      assertEquals(List.of(), ordinary.dependencies());
      MessageBody spec = simulation.liveRecord(id(9)).map("spec");
      assertNull(
          spec.get(Wire.DEPENDENCIES),
          "a record without open dependencies must match the earlier format");
    }
  }

  private static Set<JobId> orphans(AdmissionSimulation simulation, JobRepository node)
      throws IOException {
    List<Set<JobId>> results = new ArrayList<>();
    node.findOrphans(results::add);
    simulation.runUntil(() -> !results.isEmpty());
    return results.get(0);
  }

  /** Guards against orphans that are missed because they depend indirectly or are in batches. */
  @Test
  void indirectAndBatchedOrphansAreFound() throws IOException, InvalidMessageException {
    try (AdmissionSimulation simulation = new AdmissionSimulation(8)) {
      for (int n = 0; n < 4; n++) {
        simulation.setStage(id(n), Stage.LIVE);
      }
      JobRepository node = simulation.newNode("a");
      simulation.admit(node, AdmissionSimulation.spec(id(10), List.of(id(0), id(1))));
      simulation.admit(node, AdmissionSimulation.spec(id(11), List.of(id(10))));
      simulation.admit(node, AdmissionSimulation.spec(id(12), List.of(id(2), id(3))));
      MessageBody pending = AdmissionSimulation.record(id(13), List.of(id(11)));
      simulation.commit(
          new Transaction()
              .put(SubmissionBatch.key("b"), SubmissionBatch.encode(Map.of(id(13), pending))));
      assertEquals(Set.of(), orphans(simulation, node));
      simulation.setStage(id(1), Stage.CANCELLED);
      simulation.setStage(id(2), Stage.DONE);
      JobRepository other = simulation.newNode("b");
      assertEquals(Set.of(id(10), id(11), id(13)), orphans(simulation, other));
      for (JobId orphan : orphans(simulation, other)) {
        other.cancel(orphan, outcome -> {});
      }
      simulation.runUntil(
          () -> simulation.endRecord(id(13)) != null && simulation.endRecord(id(11)) != null);
      JobStatus end = new JobStatus(id(11), JobPhase.CANCELLED, 0);
      assertEquals(new JobOutcome.Found(end), simulation.find(node, id(11)));
      JobStatus live = new JobStatus(id(12), JobPhase.LIVE, 0);
      assertEquals(new JobOutcome.Found(live), simulation.find(node, id(12)));
    }
  }

  /** Guards against treating a cancelled dependency as live because a batch still contains it. */
  @Test
  void dependentOfCancelledBatchedJobIsOrphan() throws IOException {
    try (AdmissionSimulation simulation = new AdmissionSimulation(8)) {
      simulation.setStage(DEPENDENCY, Stage.BATCHED);
      JobRepository node = simulation.newNode("a");
      simulation.admit(node, AdmissionSimulation.spec(DEPENDENT, List.of(DEPENDENCY)));
      simulation.setStage(DEPENDENCY, Stage.CANCELLED);
      assertEquals(Set.of(DEPENDENT), orphans(simulation, node));
    }
  }

  /** Guards against reporting no orphans when a lookup fails. */
  @Test
  void orphansAreUnknownWhenLookupFails() throws IOException {
    try (AdmissionSimulation simulation = new AdmissionSimulation(8)) {
      simulation.setStage(DEPENDENCY, Stage.LIVE);
      simulation.admit(
          simulation.newNode("a"), AdmissionSimulation.spec(DEPENDENT, List.of(DEPENDENCY)));
      simulation.setStage(DEPENDENCY, Stage.CANCELLED);
      for (int request = 0; request < 3; request++) {
        // Fails the list, the comparison and the read of the end record in turn.
        int first = simulation.requests.size();
        simulation.injectFault(first + request, Fault.UNAVAILABLE);
        assertNull(orphans(simulation, simulation.newNode("n" + request)));
      }
      assertEquals(Set.of(DEPENDENT), orphans(simulation, simulation.newNode("z")));
    }
  }

  /** Guards against a record that exceeds the value limit at the maximum number of dependencies. */
  @Test
  void maximumDependenciesFitIntoSmallestValueLimit() throws IOException, InvalidMessageException {
    try (AdmissionSimulation simulation = new AdmissionSimulation(4, 2)) {
      List<JobId> dependencies =
          IntStream.range(0, 32).mapToObj(n -> new JobId(String.format("req-%022d", n))).toList();
      dependencies.forEach(each -> simulation.setStage(each, Stage.LIVE));
      JobId longest = new JobId(String.format("req-%022d", 77));
      JobSpec spec = AdmissionSimulation.spec(longest, dependencies);
      assertEquals(
          new JobOutcome.Created(longest), simulation.admit(simulation.newNode("a"), spec));
      assertEquals(dependencies, simulation.recordedDependencies(longest));
    }
  }
}
