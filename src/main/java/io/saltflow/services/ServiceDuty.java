package io.saltflow.services;

import io.saltflow.bookkeeping.JobStore;
import io.saltflow.bookkeeping.ServiceBooks;
import io.saltflow.coordination.Job;
import io.saltflow.coordination.Leader;
import io.saltflow.gates.Watch;
import io.saltflow.probes.Finding;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.Budget;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.ProbeFrame;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.rollouts.Command;
import io.saltflow.rollouts.Machine;
import io.saltflow.rollouts.Plan;
import io.saltflow.rollouts.Rollout;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's services during its term: each decision is recorded before it is acted upon. */
public final class ServiceDuty extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceDuty.class);
  private static final Span AGAIN = Span.millis(300);
  private static final Span LOOK = Span.seconds(1);
  private static final int MOST_SERVICES = 500;
  private static final int MOST_GOING_ON = 4;
  private static final double PLANS_PER_S = 2;
  private static final Span BETWEEN_RECORDS = Span.millis(5);

  private final Loop loop;
  private final ServiceNode node;
  private final Leader leader;
  private final ServiceBooks books;
  private final Map<String, LiveService> services = new TreeMap<>();
  private final ProbeDuty probing;

  /** Roll-outs that would go on, by when they first would. */
  private final ArrayDeque<String> turns = new ArrayDeque<>();

  private int goingOn;

  /** New plans are read and checked at a bounded rate: each costs a small machine something. */
  private final Budget plans;

  private boolean ready;

  public ServiceDuty(Routine parent, Loop loop, ServiceNode node, Leader leader) {
    super(parent);
    this.loop = loop;
    this.node = node;
    this.leader = leader;
    plans = new Budget(PLANS_PER_S, PLANS_PER_S, loop.now());
    probing = new ProbeDuty(this, loop, node.probes(), this::found);
    books = new ServiceBooks(this, loop, node.state(), node.authority(), node.onDeposed());
  }

  /** Reads the records; until then no service's task is started or stopped. */
  public void start() {
    books.inherit(
        records -> {
          if (cancelled()) {
            return;
          }
          if (records == null) {
            loop.after(AGAIN, this, this::start);
            return;
          }
          inherit(new ArrayDeque<>(records.entrySet()));
        });
  }

  /**
   * One record a turn of the loop: on a tenth of a core fifty plans read in one went on for longer
   * than the new leader's lease, and the next leader began the same again (measured).
   */
  private void inherit(ArrayDeque<Map.Entry<String, Body>> left) {
    Map.Entry<String, Body> next = left.poll();
    if (next == null) {
      begin();
    } else {
      inherited(next.getKey(), next.getValue());
      loop.after(BETWEEN_RECORDS, this, () -> inherit(left));
    }
  }

  private void begin() {
    ready = true;
    services.values().stream().filter(l -> l.service().rolling()).forEach(this::stands);
    probing.start();
    loop.every(
        LOOK,
        this,
        () -> {
          services.values().forEach(this::look);
          goOn();
        });
  }

  private void inherited(String name, Body record) {
    try {
      services.put(name, new LiveService(ServiceCodec.decode(record)));
    } catch (BadMessage e) {
      // Its jobs go on as they are: what can't be read is not taken for a service without replicas.
      LOG.error("service {} can't be read: {}; it is left as it is", name, e.getMessage());
    }
  }

  // ---- Deciding

  private void look(LiveService live) {
    live.budget(leader, loop.now());
    probing.targets(live.service().name(), live.targets(leader));
    if (live.writing) {
      return;
    }
    reconcile(live);
    Service s = live.service();
    if (!s.rolling()) {
      return;
    }
    Rollout next = next(live);
    if (!next.equals(s.current().rollout())) {
      if (waits(next)) {
        if (!turns.contains(s.name())) {
          turns.add(s.name());
        }
      } else {
        record(live, moved(s, next), true, result -> {});
      }
    }
  }

  /** Going on can wait for users' writes; going back can't. */
  private static boolean waits(Rollout next) {
    return next.phase() != Rollout.Phase.BACK && !next.phase().over();
  }

  /**
   * Roll-outs that would go on, a few at a time and who has waited longest first. Left to the
   * budget of writes alone, fifty at once let some wait for a minute and a half (measured): what it
   * could not take in time came back behind all others.
   */
  private void goOn() {
    for (int n = turns.size(); n > 0 && goingOn < MOST_GOING_ON; n--) {
      LiveService live = services.get(turns.poll());
      if (live == null || live.writing || !live.service().rolling()) {
        continue;
      }
      Service s = live.service();
      // What is seen by now: it may have to go back meanwhile.
      Rollout next = next(live);
      if (!next.equals(s.current().rollout())) {
        goingOn++;
        record(
            live,
            moved(s, next),
            !waits(next),
            result -> {
              goingOn--;
              if (result == ServiceBooks.Result.NOT_NOW) {
                turns.addFirst(s.name());
              } else {
                goOn();
              }
            });
      }
    }
  }

  private void found(Finding f) {
    LiveService live = services.get(f.target().service());
    if (live != null && live.service().rolling()) {
      ProbeFrame.Place place = f.target().place();
      live.probed(place, f.ms(), loop.now());
      tellTracer(
          new RolloutEvent.Probed(
              live.which(),
              place.host() + ":" + place.port() + place.path(),
              f.ms(),
              node.wallMs().getAsLong()));
    }
  }

  /** A sibling's answers to probes that it was asked for. */
  public void probed(ProbeFrame.Answers answers) {
    probing.answered(answers.from(), answers.batch(), answers.times());
  }

  // ---- Tracing

  /** What the record should be by what is seen now; what is new of that is traced. */
  private Rollout next(LiveService live) {
    long wall = node.wallMs().getAsLong();
    Watch.Verdict before = live.verdict();
    Rollout next = live.next(leader, loop.now(), wall);
    Watch.Verdict now = live.verdict();
    if (now != null && (before == null || before.truth() != now.truth())) {
      tellTracer(new RolloutEvent.Judged(live.which(), now.truth(), now.reasons(), wall));
    }
    for (Span took : live.takeStarts()) {
      tellTracer(new RolloutEvent.Started(live.which(), took.ms(), wall));
    }
    return next;
  }

  private void stands(LiveService live) {
    tellTracer(
        new RolloutEvent.Stands(
            live.which(), live.service().current().rollout(), node.wallMs().getAsLong()));
  }

  /** A tracer that fails is no reason for a roll-out to fail. */
  private void tellTracer(RolloutEvent event) {
    try {
      node.tracer().accept(event);
    } catch (RuntimeException e) {
      LOG.error("a trace could not be told: {}", e.toString());
    }
  }

  @Override
  protected void onCancel() {
    long wall = node.wallMs().getAsLong();
    for (LiveService live : services.values()) {
      if (live.service().rolling()) {
        tellTracer(new RolloutEvent.Left(live.which(), wall));
      }
    }
  }

  private static Service moved(Service s, Rollout next) {
    Service.Current current = s.current().with(next);
    return next.phase().over() ? s.ended(current, sentence(s, current)) : s.withCurrent(current);
  }

  private static String sentence(Service s, Service.Current c) {
    String to = "Version " + c.to() + " (" + s.version(c.to()).said() + ")";
    return switch (c.rollout().phase()) {
      case DONE -> to + " took over from version " + c.from() + ".";
      case ROLLED_BACK ->
          to + " was taken back, version " + c.from() + " serves: " + c.rollout().reason();
      default -> to + " and version " + c.from() + " are both in part: " + c.rollout().reason();
    };
  }

  private void record(LiveService live, Service next, Consumer<ServiceBooks.Result> then) {
    record(live, next, true, then);
  }

  private void record(
      LiveService live, Service next, boolean urgent, Consumer<ServiceBooks.Result> then) {
    live.writing = true;
    live.budget(leader, loop.now());
    Body body = node.state().limits().shortenedFromStart(ServiceCodec.encode(next), "history");
    books.write(
        next.name(),
        body,
        urgent,
        result -> {
          live.writing = false;
          if (result == ServiceBooks.Result.RECORDED) {
            tell(live.service(), next);
            boolean other =
                next.current() != null && !next.current().equals(live.service().current());
            live.recorded(next);
            reconcile(live);
            live.budget(leader, loop.now());
            if (other) {
              stands(live);
            }
          }
          then.accept(result);
        });
  }

  private static void tell(Service before, Service next) {
    if (next.current() == null || next.current().equals(before.current())) {
      return;
    }
    Rollout r = next.current().rollout();
    if (r.phase().over()) {
      LOG.info("{}: {}", next.name(), next.history().get(next.history().size() - 1));
    } else {
      LOG.info(
          "{}: step {} of {}, {}: {} old and {} new replicas are wanted",
          next.name(),
          r.step() + 1,
          next.current().plan().steps().size(),
          r.phase(),
          r.wantedOld(),
          r.wantedNew());
    }
  }

  // ---- Acting upon the record

  /** As many tasks of each version as the record says; versions that are over are ended. */
  private void reconcile(LiveService live) {
    Service s = live.service();
    for (Service.Version v : s.versions()) {
      int wanted = s.wanted(v.number());
      Job job = leader.job(live.jobOf(v));
      if (job != null) {
        leader.want(job.id(), s.wants(v), live.disruptions());
        boolean needed =
            s.rolling() && (v.number() == s.current().to() || v.number() == s.current().from());
        if (wanted == 0 && !needed) {
          node.jobs().cancel(job.id(), outcome -> {});
        }
      } else if (wanted > 0 && !live.admitting) {
        admit(live, v);
      }
    }
  }

  private void admit(LiveService live, Service.Version v) {
    live.admitting = true;
    node.jobs()
        .admit(
            live.specOf(v),
            node.wallMs().getAsLong(),
            outcome -> {
              live.admitting = false;
              if (outcome instanceof JobStore.Outcome.TooLarge) {
                LOG.error("{}: version {} is too large to be recorded", v.image(), v.number());
              }
            });
  }

  // ---- What operators ask for

  private boolean refused(BiConsumer<Integer, Body> answer, LiveService live) {
    if (!ready || (live != null && live.writing)) {
      answer.accept(503, error("not now"));
      return true;
    }
    return false;
  }

  private static Body error(String why) {
    return Body.of().with(Wire.ERROR, why);
  }

  private void answer(ServiceBooks.Result result, String name, BiConsumer<Integer, Body> answer) {
    switch (result) {
      case RECORDED -> answer.accept(200, show(name));
      case NOT_NOW -> answer.accept(503, error("not recorded"));
      case TOO_LARGE -> answer.accept(422, error("the record would be too large"));
    }
  }

  /** Sets a service up, or changes how many replicas it has. */
  public void apply(Body request, BiConsumer<Integer, Body> answer) {
    try {
      String name = request.text("name");
      LiveService there = services.get(name);
      if (refused(answer, there)) {
        return;
      }
      int replicas = ServiceRequest.replicas(request);
      if (there != null) {
        scale(there, request, replicas, answer);
        return;
      }
      LiveService live =
          new LiveService(ServiceRequest.service(request, node.wallMs().getAsLong()));
      String never = node.neverRuns().apply(live.specOf(live.service().version(1)));
      if (never != null || services.size() >= MOST_SERVICES) {
        answer.accept(422, error(never == null ? "too many services" : never));
        return;
      }
      services.put(name, live);
      record(
          live,
          live.service(),
          result -> {
            if (result != ServiceBooks.Result.RECORDED) {
              services.remove(name);
            }
            answer(result, name, answer);
          });
    } catch (BadMessage e) {
      answer.accept(400, error(e.getMessage()));
    }
  }

  private void scale(LiveService live, Body request, int replicas, BiConsumer<Integer, Body> answer)
      throws BadMessage {
    Service s = live.service();
    String image = request.textOr(Wire.IMAGE, s.version(s.serving()).image());
    if (!image.equals(s.version(s.serving()).image())) {
      answer.accept(422, error(Wire.IMAGE + ": another version is brought by a roll-out"));
      return;
    }
    if (replicas > live.specOf(s.version(s.serving())).tasks()) {
      answer.accept(422, error("replicas: more than four times as many at once"));
      return;
    }
    Service.Current current =
        s.rolling()
            ? s.current()
                .with(new Machine(s.current().plan()).scaled(s.current().rollout(), replicas))
            : s.current();
    record(live, s.scaled(replicas, current), result -> answer(result, s.name(), answer));
  }

  /** Begins a roll-out to an image, which is a new version unless it is known. */
  public void begin(String name, Body request, BiConsumer<Integer, Body> answer) {
    LiveService live = services.get(name);
    if (refused(answer, live)) {
      return;
    }
    if (live == null) {
      answer.accept(404, error("no service '" + name + "'"));
      return;
    }
    Service s = live.service();
    try {
      String image = request.text(Wire.IMAGE);
      Map<String, String> parameters = ServiceCodec.parameters(request);
      if (s.rolling()) {
        boolean same = s.version(s.current().to()).runs(image, parameters);
        // A repetition whose answer was lost finds its roll-out under way.
        answer.accept(same ? 200 : 409, same ? show(name) : error("a roll-out is under way"));
        return;
      }
      if (!plans.take(1, loop.now())) {
        answer.accept(503, error("many roll-outs are being started"));
        return;
      }
      String planText = request.textOr("plan", "{}");
      Plan plan = Plans.checked(planText, s.replicas());
      List<String> faults = Plans.unfit(plan, s, node.teamLimits().apply(s.team()));
      if (!faults.isEmpty()) {
        answer.accept(422, error("plan: " + faults.get(0)));
        return;
      }
      begin(live, image, parameters, ServiceRequest.by(request), planText, plan, answer);
    } catch (BadMessage e) {
      answer.accept(400, error(e.getMessage()));
    }
  }

  private void begin(
      LiveService live,
      String image,
      Map<String, String> parameters,
      String by,
      String planText,
      Plan plan,
      BiConsumer<Integer, Body> answer) {
    Service s = live.service();
    int port = s.shape().portBeside(s.version(s.serving()).port());
    if (s.version(s.serving()).runs(image, parameters)) {
      answer.accept(422, error(Wire.IMAGE + ": it serves already"));
      return;
    }
    List<Service.Version> all = new ArrayList<>(s.versions());
    Service.Version to = null;
    for (Service.Version v : s.versions()) {
      if (v.runs(image, parameters)) {
        to = v.again(port);
        all.set(all.indexOf(v), to);
      }
    }
    long wall = node.wallMs().getAsLong();
    if (to == null) {
      int number = s.versions().stream().mapToInt(Service.Version::number).max().orElse(0) + 1;
      to = new Service.Version(number, image, parameters, port, by, wall, 1);
      all.add(to);
    }
    List<String> zones = plan.zoneByZone() ? node.zones().get() : List.of();
    Service.Current current =
        new Service.Current(
            s.serving(),
            to.number(),
            wall,
            planText,
            plan,
            Rollout.begin(s.replicas(), zones, wall));
    record(live, s.beginning(all, current), result -> answer(result, s.name(), answer));
  }

  /** Tells a roll-out something. */
  public void command(String name, Command command, BiConsumer<Integer, Body> answer) {
    LiveService live = services.get(name);
    if (refused(answer, live)) {
      return;
    }
    if (live == null || live.service().current() == null) {
      answer.accept(404, error("no roll-out of '" + name + "'"));
      return;
    }
    Service s = live.service();
    Rollout r = s.current().rollout();
    Rollout next = new Machine(s.current().plan()).told(r, command, node.wallMs().getAsLong());
    if (next.equals(r)) {
      answer.accept(200, show(name));
    } else {
      record(live, moved(s, next), result -> answer(result, name, answer));
    }
  }

  // ---- What can be told

  /** What a version's tasks are told: its first port (0: none) and its parameters. */
  public record Told(int port, Map<String, String> parameters) {}

  /** By a service's record, what the tasks of a job are told; null: it is not that service's. */
  public static Told told(Body record, JobId job) throws BadMessage {
    LiveService live = new LiveService(ServiceCodec.decode(record));
    for (Service.Version v : live.service().versions()) {
      if (live.jobOf(v).equals(job)) {
        return new Told(v.port(), v.parameters());
      }
    }
    return null;
  }

  /** Whether services are known here. */
  public boolean ready() {
    return ready;
  }

  /** Null: there is none of that name. */
  public Body show(String name) {
    LiveService live = services.get(name);
    if (live == null) {
      return null;
    }
    Service s = live.service();
    Time now = loop.now();
    List<Object> versions = new ArrayList<>();
    for (Service.Version v : s.versions()) {
      Job.Replicas r = live.replicas(leader, v.number(), now);
      versions.add(
          Body.of()
              .with("version", v.number())
              .with(Wire.IMAGE, v.image())
              .with("parameters", v.parameters())
              .with("port", v.port())
              .with("by", v.by())
              .with("sinceMs", v.wallMs())
              .with("wanted", s.wanted(v.number()))
              .with("ready", r.ready())
              .with("unseen", r.unseen()));
    }
    Body out =
        Body.of()
            .with("name", s.name())
            .with("replicas", s.replicas())
            .with("serving", s.serving())
            .with("versions", versions)
            .with("history", s.history());
    if (s.current() != null) {
      Rollout r = s.current().rollout();
      out.with("from", s.current().from())
          .with("to", s.current().to())
          .with("phase", r.phase().name().toLowerCase(Locale.ROOT))
          .with("step", r.step() + 1)
          .with("steps", s.current().plan().steps().size())
          .with("zones", r.openZones() == null ? List.of() : r.openZones())
          .with("sinceS", (node.wallMs().getAsLong() - r.sinceWallMs()) / 1000.0)
          .with("reason", r.reason())
          .with("waitsFor", s.rolling() ? live.waitsFor() : List.of());
    }
    return out;
  }

  public Body list() {
    List<Object> out = new ArrayList<>();
    services.keySet().forEach(name -> out.add(show(name)));
    return Body.of().with("services", out);
  }
}
