package io.saltflow.broker;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.saltflow.amqp.MessageProperties;
import io.saltflow.queues.Outcome;
import io.saltflow.queues.ResultEncoder;

/** Encodes results as JSON, for example {@code {"id":"m-1","outcome":"done","attempts":1}}. */
final class JsonResultEncoder implements ResultEncoder {
  private final ObjectMapper json = new ObjectMapper();

  @Override
  public byte[] body(String id, Outcome outcome, int attempts, String reason) {
    ObjectNode node = json.createObjectNode();
    node.put("id", id).put("outcome", outcome.text()).put("attempts", attempts);
    if (reason != null) {
      node.put("reason", reason);
    }
    try {
      return json.writeValueAsBytes(node);
    } catch (JsonProcessingException exception) {
      throw new IllegalStateException("cannot encode a result as JSON", exception);
    }
  }

  @Override
  public byte[] properties(String id) {
    return MessageProperties.ofResult(id);
  }
}
