package io.saltflow.broker;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.JsonJobs;
import io.saltflow.protocol.PriorityNames;
import io.saltflow.protocol.Wire;
import io.saltflow.queues.MessageJobFactory;
import io.saltflow.queues.QueueId;
import io.saltflow.queues.QueuePolicy;
import java.io.IOException;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Creates jobs from messages. Without a template, a message is a job description. With a template,
 * a message is a map of parameters that the template references as {@code ${name}}. A parameter
 * that is a whole field keeps its type. Within a longer text it is inserted as text.
 */
final class JobTemplates implements MessageJobFactory {
  private static final Pattern PARAMETER = Pattern.compile("\\$\\{([A-Za-z_][A-Za-z0-9_]*)}");

  private final ObjectMapper json = new ObjectMapper();
  private final Map<QueueId, String> templates;

  JobTemplates(Map<QueueId, String> templates) {
    this.templates = templates;
  }

  @Override
  public JobSpec createJob(QueuePolicy queue, JobId id, byte[] body) throws InvalidJobException {
    JsonNode message = read(body);
    String template = templates.get(queue.id());
    ObjectNode fields =
        template == null ? ((ObjectNode) message).deepCopy() : fill(template, message);
    // The queue's settings override those of the message. The job id is derived from the message
    // id.
    fields.put(Wire.ID, id.text());
    fields.put(Wire.JOB_CLASS, queue.jobClass());
    fields.put(Wire.TEAM, queue.team());
    fields.put(Wire.PRIORITY, PriorityNames.of(queue.priority()));
    if (!fields.has(Wire.CORES) && queue.size().cores() > 0) {
      fields.put(Wire.CORES, queue.size().cores());
    }
    try {
      return JobCodec.decode(JsonJobs.withDefaults(JsonJobs.fields(fields)));
    } catch (InvalidMessageException exception) {
      throw new InvalidJobException("no job can be made of it: " + exception.getMessage());
    }
  }

  private JsonNode read(byte[] body) throws InvalidJobException {
    JsonNode node;
    try {
      node = json.readTree(body);
    } catch (IOException exception) {
      throw new InvalidJobException("no job can be made of it: it is not JSON");
    }
    if (node == null || !node.isObject()) {
      throw new InvalidJobException("no job can be made of it: a map of fields is required");
    }
    return node;
  }

  private ObjectNode fill(String template, JsonNode parameters) throws InvalidJobException {
    ObjectNode out;
    try {
      out = (ObjectNode) json.readTree(template);
    } catch (JsonProcessingException exception) {
      throw new IllegalStateException(
          "job template is not valid JSON although it was checked with the settings", exception);
    }
    for (Iterator<Map.Entry<String, JsonNode>> it = out.fields(); it.hasNext(); ) {
      Map.Entry<String, JsonNode> field = it.next();
      if (field.getValue().isTextual()) {
        field.setValue(fill(field.getValue(), parameters));
      }
    }
    return out;
  }

  private JsonNode fill(JsonNode text, JsonNode parameters) throws InvalidJobException {
    Matcher matcher = PARAMETER.matcher(text.textValue());
    if (matcher.matches()) {
      return parameter(matcher.group(1), parameters);
    }
    StringBuilder out = new StringBuilder();
    matcher.reset();
    while (matcher.find()) {
      matcher.appendReplacement(
          out, Matcher.quoteReplacement(parameter(matcher.group(1), parameters).asText()));
    }
    matcher.appendTail(out);
    return json.getNodeFactory().textNode(out.toString());
  }

  private static JsonNode parameter(String name, JsonNode parameters) throws InvalidJobException {
    JsonNode value = parameters.get(name);
    if (value == null || !value.isValueNode()) {
      throw new InvalidJobException(
          "no job can be made of it: parameter '" + name + "' is missing");
    }
    return value;
  }
}
