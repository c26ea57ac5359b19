package org.marjoramhoist.entry;

import org.marjoramhoist.dispatch.SchedulingPolicy;
import org.marjoramhoist.dispatch.ValueBasedAdmission;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.RequestClass;

/**
 * Admits the share of new jobs that the leader can accept: evenly spread, or if load shedding is
 * enabled, jobs of the highest value per task start first.
 *
 * <p>Confined to the event loop's thread.
 */
final class AdmissionGate {

  private final SchedulingPolicy scheduling;
  private final ValueBasedAdmission byValue = new ValueBasedAdmission();
  private double share = 1;
  private double credit;

  AdmissionGate(SchedulingPolicy scheduling) {
    this.scheduling = scheduling;
  }

  /** Sets the share of new jobs to admit, from 0 to 1. */
  void setShare(double newShare) {
    share = newShare;
  }

  /** Returns whether a new job is admitted. */
  boolean admit(JobDescription job, RequestClass requestClass, long now) {
    if (scheduling.overload() == SchedulingPolicy.Overload.SHED) {
      double value = scheduling.jobValue(requestClass.priority());
      return byValue.admit(requestClass.name(), value, job.taskCount(), share, now);
    }
    return admitEvenly();
  }

  private boolean admitEvenly() {
    if (share >= 1) {
      credit = 0;
      return true;
    }
    credit += share;
    if (credit < 1) {
      return false;
    }
    credit -= 1;
    return true;
  }
}
