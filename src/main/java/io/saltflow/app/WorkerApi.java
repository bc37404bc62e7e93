package io.saltflow.app;

import io.saltflow.coordination.Authority;
import io.saltflow.coordination.Leader;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Report;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.protocol.WorkerCodec;
import io.saltflow.transport.HttpReply;
import java.util.List;
import java.util.function.Supplier;

/** Answers workers' reports. A node that is not entitled never answers 200. */
final class WorkerApi {
  private final String host;
  private final Authority authority;
  private final Supplier<String> leaderName;
  private final Supplier<Leader> leader;
  private final Runnable onHigherToken;

  WorkerApi(
      String host,
      Authority authority,
      Supplier<String> leaderName,
      Supplier<Leader> leader,
      Runnable onHigherToken) {
    this.host = host;
    this.authority = authority;
    this.leaderName = leaderName;
    this.leader = leader;
    this.onHigherToken = onHigherToken;
  }

  HttpReply checkin(byte[] body, Time now) {
    if (!authority.leading()) {
      return elsewhere();
    }
    if (!authority.mayKeep(now)) {
      return HttpReply.empty(503);
    }
    Report report;
    try {
      report = WorkerCodec.decodeReport(MsgPack.decode(body));
    } catch (BadMessage e) {
      return Replies.error(400, e.getMessage());
    }
    if (report.token().compareTo(authority.term()) > 0) {
      onHigherToken.run();
      return elsewhere();
    }
    Leader core = leader.get();
    List<Order> orders =
        core == null ? List.of() : core.onReport(report, authority.mayLaunch(now), now);
    if (orders == null) {
      return HttpReply.empty(503);
    }
    return HttpReply.of(200, MsgPack.encode(WorkerCodec.encodeOrders(authority.term(), orders)));
  }

  private HttpReply elsewhere() {
    String name = leaderName.get();
    Body body = Body.of();
    if (name != null && !name.equals(host)) {
      body.with(Wire.LEADER, name);
    }
    return HttpReply.of(421, MsgPack.encode(body));
  }
}
