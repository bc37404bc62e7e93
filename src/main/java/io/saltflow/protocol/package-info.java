/**
 * The wire protocol: field names and codecs for MessagePack and Avro. Wire field names appear only
 * in this package, which maps them to the types of {@code io.saltflow.model}.
 */
package io.saltflow.protocol;
