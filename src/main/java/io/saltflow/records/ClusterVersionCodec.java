package io.saltflow.records;

import io.saltflow.clusterversion.BuildAnnouncement;
import io.saltflow.clusterversion.ClusterVersion;
import io.saltflow.clusterversion.ClusterVersionState;
import io.saltflow.clusterversion.InvalidVersionsException;
import io.saltflow.clusterversion.VersionRange;
import io.saltflow.model.Revision;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes the stored records of cluster versions and build announcements. The format is
 * fixed because every future build must be able to read it.
 */
public final class ClusterVersionCodec {
  private static final String REQUIRED_FIELD = "raised";
  private static final String ACTIVE_FIELD = "used";
  private static final String OLDEST_STORED_FIELD = "whole";
  private static final String OLDEST_FIELD = "from";
  private static final String NEWEST_FIELD = "to";
  private static final String PROCESS_FIELD = "process";

  /** Cluster versions and build announcements as listed at one revision. */
  public record RecordedVersions(ClusterVersionState state, List<BuildAnnouncement> announcements) {
    /** Returns the revision of a host's announcement, or {@code ABSENT} if there is none. */
    Revision announcementRevision(String host) {
      for (BuildAnnouncement announcement : announcements) {
        if (announcement.host().equals(host)) {
          return announcement.revision();
        }
      }
      return Revision.ABSENT;
    }
  }

  private ClusterVersionCodec() {}

  /** Encodes the cluster versions. */
  public static MessageBody encode(ClusterVersionState state) {
    return MessageBody.of()
        .with(REQUIRED_FIELD, state.required().number())
        .with(ACTIVE_FIELD, state.active().number())
        .with(OLDEST_STORED_FIELD, state.oldestStored().number());
  }

  /**
   * Encodes a build announcement.
   *
   * @param process name of the announcing process, which is only informational
   */
  public static MessageBody encode(VersionRange supported, String process) {
    return MessageBody.of()
        .with(OLDEST_FIELD, supported.oldest().number())
        .with(NEWEST_FIELD, supported.newest().number())
        .with(PROCESS_FIELD, process);
  }

  /**
   * Decodes the listed records.
   *
   * @throws InvalidMessageException if a record cannot be read, so that it is never treated as
   *     absent
   */
  public static RecordedVersions decode(KeyValueClient.PrefixListing listing)
      throws InvalidMessageException {
    ClusterVersionState state = ClusterVersionState.UNRECORDED;
    List<BuildAnnouncement> announcements = new ArrayList<>();
    for (KeyValueClient.KeyValue entry : listing.entries()) {
      try {
        if (entry.key().equals(Keys.CLUSTER_VERSION_STATE)) {
          state =
              new ClusterVersionState(
                  clusterVersion(entry.value(), REQUIRED_FIELD),
                  clusterVersion(entry.value(), ACTIVE_FIELD),
                  clusterVersion(entry.value(), OLDEST_STORED_FIELD),
                  entry.revision());
        } else if (entry.key().startsWith(Keys.BUILD_ANNOUNCEMENTS)) {
          VersionRange supported =
              new VersionRange(
                  clusterVersion(entry.value(), OLDEST_FIELD),
                  clusterVersion(entry.value(), NEWEST_FIELD));
          String host = entry.key().substring(Keys.BUILD_ANNOUNCEMENTS.length());
          announcements.add(new BuildAnnouncement(host, supported, entry.revision()));
        }
      } catch (InvalidVersionsException exception) {
        throw new InvalidMessageException(entry.key() + ": " + exception.getMessage());
      }
    }
    return new RecordedVersions(state, announcements);
  }

  private static ClusterVersion clusterVersion(MessageBody record, String field)
      throws InvalidMessageException {
    long number = record.integer(field);
    if (number < 1 || number > Integer.MAX_VALUE) {
      throw new InvalidMessageException(
          field + ": expected a cluster version from 1 to 2147483647");
    }
    return new ClusterVersion((int) number);
  }
}
