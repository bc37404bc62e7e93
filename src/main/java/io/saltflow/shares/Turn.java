package io.saltflow.shares;

import io.saltflow.protocol.JobId;

/** A job that may start tasks on account of a party's least part: at most so many for now. */
public record Turn(JobId job, Party party, int most) {}
