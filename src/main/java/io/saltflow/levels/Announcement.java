package io.saltflow.levels;

import io.saltflow.protocol.Stamp;

/**
 * What a controller's process said of its build before it did anything else.
 *
 * @param version of its key: another process of the host, or another announcement, has another
 */
public record Announcement(String host, Range range, Stamp version) {}
