package io.saltflow.app;

/** A settings file that can't be used; the message names the field. */
public final class ConfigError extends Exception {
  public ConfigError(String message) {
    super(message);
  }
}
