package io.saltflow.kv;

/** What PROTOCOL's settings give: requests and changes a second, KiB a value, changes at once. */
public record Limits(double rps, double writeRps, double valueKb, int txnOps) {}
