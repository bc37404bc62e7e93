package io.saltflow.clusterversion;

import io.saltflow.model.Revision;

/**
 * Announcement of a controller's build, which its process writes before it serves.
 *
 * @param supported the cluster versions that the build supports
 * @param revision revision of its key, which changes with each announcement and process
 */
public record BuildAnnouncement(String host, VersionRange supported, Revision revision) {}
