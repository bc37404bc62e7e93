package io.saltflow.store;

import java.util.List;

/** Defines the names, encoding and maximum encoded sizes of records in pages. */
public interface RecordFormat<T> {
  /** Returns the record's name, which is unique across all pages. */
  String name(T record);

  /** Returns the current encoded form of the record. */
  Object encode(T record);

  /** Returns the maximum size of the encoded form in bytes of JSON, with its name and comma. */
  int maxEncodedBytes(T record);

  /** Returns whether the encoded form retains all data that was stored for the record before. */
  boolean retainsAll(T record, Object value);

  /**
   * Handles the completion of a page write.
   *
   * @param values the encoded form of each record
   * @param confirmed whether the write was confirmed; if not, it may or may not have been executed
   */
  void onWritten(List<T> records, List<Object> values, boolean confirmed);
}
