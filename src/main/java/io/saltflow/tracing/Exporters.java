package io.saltflow.tracing;

import io.opentelemetry.exporter.logging.otlp.OtlpJsonLoggingSpanExporter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.logging.FileHandler;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Creates span exporters: to a file of OTLP JSON with one batch per line, or to an OTLP collector
 * over HTTP.
 */
final class Exporters {
  /** Size at which the file is rotated. One earlier file is kept. */
  private static final int MAX_FILE_BYTES = 64 << 20;

  /** A strong reference, without which the logger and its file handler may be collected. */
  private static final Logger LOGGER =
      Logger.getLogger(OtlpJsonLoggingSpanExporter.class.getName());

  private Exporters() {}

  /**
   * Returns the exporter for a file name or a collector's URL such as {@code
   * http://HOST:PORT/v1/traces}.
   */
  static SpanExporter of(String target) throws IOException {
    if (!target.startsWith("http://") && !target.startsWith("https://")) {
      return file(target);
    }
    try {
      URI.create(target);
    } catch (IllegalArgumentException exception) {
      throw new IOException(target + ": invalid collector URL", exception);
    }
    return OtlpHttpSpanExporter.builder()
        .setEndpoint(target)
        .setTimeout(Duration.ofSeconds(5))
        .setConnectTimeout(Duration.ofSeconds(5))
        .build();
  }

  /** Directs the exporter, which writes to the logger of its class name, to a file. */
  private static SpanExporter file(String name) throws IOException {
    FileHandler file = new FileHandler(name.replace("%", "%%") + "%g", MAX_FILE_BYTES, 2, true);
    file.setFormatter(
        new Formatter() {
          @Override
          public String format(LogRecord record) {
            return record.getMessage() + "\n";
          }
        });
    LOGGER.setUseParentHandlers(false);
    LOGGER.addHandler(file);
    return OtlpJsonLoggingSpanExporter.create();
  }
}
