package io.saltflow.fairshare;

import io.saltflow.model.JobId;

/** Permission for a job to start up to {@code maxTasks} tasks from its group's minimum share. */
public record ShareGrant(JobId job, ShareGroup group, int maxTasks) {}
