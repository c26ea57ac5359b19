package org.marjoramhoist.decision;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToIntFunction;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.TeamId;

/**
 * The jobs with waiting tasks of one upstream, by team and class.
 *
 * <p>Teams take turns by the worker time they have used for their share, in steps of a quantum;
 * within a step, and within a team, the job that is due first goes first. A class that can't be
 * placed at present holds up no other class. Confined to one thread.
 */
final class JobQueue {

  private static final double QUANTUM_MICROS = 2.0 * Policy.MICROS_PER_SECOND;

  private static final Comparator<JobRun> BY_DUE =
      Comparator.comparingLong(JobRun::due).thenComparingLong(JobRun::order);

  /** The waiting jobs of one team and class. */
  private static final class Lane {
    private final TeamUse team;
    private final ClassId classId;
    private final TreeSet<JobRun> jobs = new TreeSet<>(BY_DUE);
    private long step;
    private long headDue;
    private long headOrder;

    Lane(TeamUse team, ClassId classId) {
      this.team = team;
      this.classId = classId;
    }

    void refreshKey() {
      step = (long) Math.floor(team.used / QUANTUM_MICROS);
      headDue = jobs.first().due();
      headOrder = jobs.first().order();
    }
  }

  private static final class TeamUse {
    private final TeamId id;
    private double used;
    private final Map<ClassId, Lane> lanes = new HashMap<>();

    TeamUse(TeamId id) {
      this.id = id;
    }

    boolean isIdle() {
      return lanes.values().stream().allMatch(lane -> lane.jobs.isEmpty());
    }
  }

  private static final Comparator<Lane> BY_TURN =
      Comparator.<Lane>comparingLong(lane -> lane.step)
          .thenComparingLong(lane -> lane.headDue)
          .thenComparingLong(lane -> lane.headOrder);

  private final Map<TeamId, TeamUse> teams = new HashMap<>();
  private final TreeSet<Lane> lanes = new TreeSet<>(BY_TURN);
  private double virtualTime;
  private int waitingTasks;

  /** Adds a job that has waiting tasks. */
  void add(JobRun job) {
    TeamUse team = teams.computeIfAbsent(job.spec().team(), TeamUse::new);
    if (team.isIdle()) {
      team.used = Math.max(team.used, virtualTime);
    }
    Lane lane = team.lanes.computeIfAbsent(job.spec().classId(), id -> new Lane(team, id));
    detach(lane);
    if (lane.jobs.add(job)) {
      waitingTasks += job.waitingCount();
    }
    attach(lane);
  }

  /** Notes that one more task of a queued job waits, or queues the job if it is not queued. */
  void addOne(JobRun job) {
    TeamUse team = teams.get(job.spec().team());
    Lane lane = team == null ? null : team.lanes.get(job.spec().classId());
    if (lane != null && lane.jobs.contains(job)) {
      waitingTasks++;
    } else {
      add(job);
    }
  }

  /** Removes a job, with all its waiting tasks. */
  void remove(JobRun job) {
    TeamUse team = teams.get(job.spec().team());
    Lane lane = team == null ? null : team.lanes.get(job.spec().classId());
    if (lane == null || !lane.jobs.contains(job)) {
      return;
    }
    detach(lane);
    lane.jobs.remove(job);
    waitingTasks -= job.waitingCount();
    attach(lane);
  }

  /** Returns the job whose task goes next among the classes that are not left out; or null. */
  JobRun next(Set<ClassId> leftOut) {
    for (Lane lane : lanes) {
      if (!leftOut.contains(lane.classId)) {
        return lane.jobs.first();
      }
    }
    return null;
  }

  /**
   * Notes that a waiting task of the job was started.
   *
   * @param workMicros the expected worker time, in microseconds
   * @param share the team's weight
   */
  void started(JobRun job, double workMicros, int share) {
    TeamUse team = teams.get(job.spec().team());
    waitingTasks--;
    team.lanes.values().forEach(this::detach);
    Lane lane = team.lanes.get(job.spec().classId());
    if (!job.hasWaiting()) {
      lane.jobs.remove(job);
    }
    virtualTime = Math.max(virtualTime, team.used);
    team.used += workMicros / share;
    team.lanes.values().forEach(this::attach);
  }

  private void detach(Lane lane) {
    if (!lane.jobs.isEmpty()) {
      lanes.remove(lane);
    }
  }

  private void attach(Lane lane) {
    if (!lane.jobs.isEmpty()) {
      lane.refreshKey();
      lanes.add(lane);
    }
  }

  int waitingTasks() {
    return waitingTasks;
  }

  boolean isEmpty() {
    return lanes.isEmpty();
  }

  /** Returns a sum over the jobs that wait. */
  int sum(ToIntFunction<JobRun> of) {
    int total = 0;
    for (Lane lane : lanes) {
      for (JobRun job : lane.jobs) {
        total += of.applyAsInt(job);
      }
    }
    return total;
  }
}
