/**
 * Reads and validates settings files: platform settings in TOML, and operator settings in JSON,
 * which are checked against a schema.
 */
package io.saltflow.config;
