package io.saltflow.model;

/** One task of a job. */
public record TaskId(JobId job, int index) {
  /**
   * Parses an id such as {@code req-000412/3}; returns {@code null} if the text is not a task id.
   */
  public static TaskId parse(String text) {
    int slash = text.indexOf('/');
    if (slash <= 0 || slash == text.length() - 1 || text.length() - slash > 8) {
      return null;
    }
    int index = 0;
    for (int i = slash + 1; i < text.length(); i++) {
      char digit = text.charAt(i);
      if (digit < '0' || digit > '9') {
        return null;
      }
      index = index * 10 + (digit - '0');
    }
    return new TaskId(new JobId(text.substring(0, slash)), index);
  }

  @Override
  public String toString() {
    return job.text() + "/" + index;
  }
}
