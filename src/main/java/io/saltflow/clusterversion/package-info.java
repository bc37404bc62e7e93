/**
 * The cluster version, which determines the formats of records, frames and responses that a build
 * may read and write. One number covers all formats. It never decreases, and it increases only when
 * all controllers have announced that they support the new version. Pure: callers read and commit,
 * this package decides. Builds and versions are compared only in this package. {@code
 * docs/design/cluster-version.md} contains the proof and compares the alternatives.
 */
package io.saltflow.clusterversion;
