package io.saltflow.api;

import io.saltflow.model.JobId;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.HttpResponse;

/** Builds the HTTP responses to users and operators. */
public final class UserResponses {
  private UserResponses() {}

  /** Returns an error response with its reason. */
  public static HttpResponse error(int status, String reason) {
    return HttpResponse.of(
        status, MessagePackCodec.encode(MessageBody.of().with(Wire.ERROR, reason)));
  }

  /** Returns a 503 response with its reason and the number of seconds to retry after. */
  public static HttpResponse retryLater(String reason, int afterS) {
    return new HttpResponse(
        503, MessagePackCodec.encode(MessageBody.of().with(Wire.ERROR, reason)), afterS);
  }

  /** Returns the status of a job: the wire name of its phase, and its done and running tasks. */
  static HttpResponse jobStatus(int status, JobId id, String phase, int done, int running) {
    return HttpResponse.of(
        status,
        MessagePackCodec.encode(
            MessageBody.of()
                .with(Wire.ID, id.text())
                .with(Wire.STATE, phase)
                .with(Wire.DONE, done)
                .with(Wire.RUNNING, running)));
  }
}
