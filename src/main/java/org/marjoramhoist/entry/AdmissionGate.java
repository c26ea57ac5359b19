package org.marjoramhoist.entry;

import org.marjoramhoist.dispatch.SchedulingPolicy;
import org.marjoramhoist.dispatch.ValueBasedAdmission;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.RequestClass;

/**
 * Lets through the share of the new jobs that the leader can take: spread evenly, or if jobs are
 * shed, those of the greatest value per start first.
 *
 * <p>Confined to the loop's thread.
 */
final class AdmissionGate {

  private final SchedulingPolicy scheduling;
  private final ValueBasedAdmission byValue = new ValueBasedAdmission();
  private double share = 1;
  private double credit;

  AdmissionGate(SchedulingPolicy scheduling) {
    this.scheduling = scheduling;
  }

  /** Takes in the share, from 0 to 1. */
  void setShare(double newShare) {
    share = newShare;
  }

  /** Tells whether one more job may go through. */
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
