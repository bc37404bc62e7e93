package io.saltflow.config;

/** Thrown for an invalid settings or input file; the message names the file or the field. */
public final class ConfigException extends Exception {
  /**
   * @param message shown to the operator unchanged
   */
  public ConfigException(String message) {
    super(message);
  }
}
