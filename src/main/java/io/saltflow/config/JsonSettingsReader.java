package io.saltflow.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Set;

/** Reads operators' JSON files and validates them against a schema. */
final class JsonSettingsReader {
  private JsonSettingsReader() {}

  static JsonNode read(Path file, String schemaResource) throws ConfigException {
    JsonNode node;
    try {
      node = new ObjectMapper().readTree(Files.readString(file));
    } catch (JsonProcessingException exception) {
      throw new ConfigException(file + ": " + exception.getMessage());
    } catch (NoSuchFileException exception) {
      throw new ConfigException(file + ": file does not exist");
    } catch (IOException exception) {
      throw new ConfigException(file + ": cannot be read: " + exception.getMessage());
    }
    try (InputStream in = JsonSettingsReader.class.getResourceAsStream(schemaResource)) {
      JsonSchema schema =
          JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
      Set<ValidationMessage> violations = schema.validate(node);
      if (!violations.isEmpty()) {
        throw new ConfigException(file + ": " + violations.iterator().next().getMessage());
      }
    } catch (IOException exception) {
      throw new ConfigException(schemaResource + ": " + exception.getMessage());
    }
    return node;
  }

  /** Reads a bundled resource without validating it; tests validate it against its schema. */
  static JsonNode resource(String name) {
    try (InputStream in = JsonSettingsReader.class.getResourceAsStream(name)) {
      return new ObjectMapper().readTree(in);
    } catch (IOException exception) {
      throw new IllegalStateException("cannot read the bundled resource " + name, exception);
    }
  }
}
