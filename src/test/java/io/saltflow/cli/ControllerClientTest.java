package io.saltflow.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against retries of final answers and missing retries of temporary ones. */
class ControllerClientTest {
  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private int requestCount;

  private ControllerClient.Answer answerTo(List<HttpResponse> replies) throws IOException {
    EventLoop loop = new EventLoop();
    Root root = new Root();
    ArrayDeque<HttpResponse> remaining = new ArrayDeque<>(replies);
    HttpServer server =
        new HttpServer(
            root,
            loop,
            Addresses.parse("127.0.0.1:0"),
            4,
            (method, target, body, answer) -> {
              requestCount++;
              answer.accept(remaining.poll());
            });
    ControllerClient client =
        new ControllerClient(
            loop, Addresses.parse("127.0.0.1:" + server.port()), TimeSpan.seconds(20));
    ControllerClient.Answer result = client.submit(MessageBody.of());
    client.cancel();
    root.cancel();
    return result;
  }

  @Test
  void unavailableAnswerIsRetriedAndRejectionIsNot() throws IOException {
    byte[] accepted = MessagePackCodec.encode(MessageBody.of().with("id", "req-1"));
    HttpResponse busy = new HttpResponse(503, new byte[0], 1);
    assertEquals(201, answerTo(List.of(busy, HttpResponse.of(201, accepted))).status());
    assertEquals(2, requestCount);
    assertEquals(422, answerTo(List.of(HttpResponse.empty(422))).status());
    assertEquals(3, requestCount);
  }
}
