package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.TeamId;

/**
 * The jobs with waiting tasks of one upstream, by team and class.
 *
 * <p>Teams that keep to their share of the upstream go by due time alone. A team that has lately
 * used more goes after them, the later the more it has used, in steps that double. A class that
 * can't be placed at present holds up no other class. Each operation costs the logarithm of the
 * number of teams and jobs. Confined to one thread.
 */
final class JobQueue {

  private static final double MEMORY_MICROS = 10.0 * Policy.MICROS_PER_SECOND;
  private static final double ALLOWANCE = 2;
  private static final double FORGOTTEN_MICROS = 1_000;
  private static final double LEAST_PART_LEFT = 0.25;
  private static final long REFRESH = 100 * Policy.MICROS_PER_MILLI;

  private static final Comparator<JobRun> BY_DUE =
      Comparator.comparingLong(JobRun::due).thenComparingLong(JobRun::order);

  /** The waiting jobs of one team and class. */
  private static final class Lane {
    private final ClassId classId;
    private final TreeSet<JobRun> jobs = new TreeSet<>(BY_DUE);
    private int step;
    private long headDue;
    private long headOrder;

    Lane(ClassId classId) {
      this.classId = classId;
    }

    void refreshKey(int teamStep) {
      step = teamStep;
      headDue = jobs.first().due();
      headOrder = jobs.first().order();
    }
  }

  /** What a team has lately used, forgotten exponentially, and what it has waiting. */
  private static final class TeamUse {
    private final Map<ClassId, Lane> lanes = new HashMap<>();
    private double used;
    private long usedAt;
    private int share = 1;
    private int waiting;
    private double queuedWork;

    double usedAt(long now) {
      return used * StrictMath.exp((usedAt - now) / MEMORY_MICROS);
    }

    void use(long now, double micros) {
      used = usedAt(now) + micros;
      usedAt = now;
    }
  }

  private static final Comparator<Lane> BY_TURN =
      Comparator.<Lane>comparingInt(lane -> lane.step)
          .thenComparingLong(lane -> lane.headDue)
          .thenComparingLong(lane -> lane.headOrder);

  private final Map<TeamId, TeamUse> teams = new HashMap<>();
  private final TreeSet<Lane> lanes = new TreeSet<>(BY_TURN);
  private int waitingTasks;
  private double activeShares = 1;
  private double totalUse;
  private double slots = 1;
  private long nextRefresh;

  /** Adds a job that has waiting tasks. */
  void add(long now, JobRun job) {
    TeamUse team = teams.computeIfAbsent(job.spec().team(), id -> new TeamUse());
    Lane lane = team.lanes.computeIfAbsent(job.spec().classId(), Lane::new);
    detach(lane);
    if (lane.jobs.add(job)) {
      count(team, job, job.waitingCount());
    }
    attach(now, team, lane);
  }

  private void count(TeamUse team, JobRun job, int tasks) {
    waitingTasks += tasks;
    team.waiting += tasks;
    team.queuedWork = Math.max(0, team.queuedWork + tasks * job.expectedEach());
  }

  /** Notes that one more task of a queued job waits, or queues the job if it is not queued. */
  void addOne(long now, JobRun job) {
    Lane lane = laneOf(job);
    if (lane != null && lane.jobs.contains(job)) {
      count(teams.get(job.spec().team()), job, 1);
    } else {
      add(now, job);
    }
  }

  private Lane laneOf(JobRun job) {
    TeamUse team = teams.get(job.spec().team());
    return team == null ? null : team.lanes.get(job.spec().classId());
  }

  /** Removes a job, with all its waiting tasks. */
  void remove(long now, JobRun job) {
    Lane lane = laneOf(job);
    if (lane == null || !lane.jobs.contains(job)) {
      return;
    }
    TeamUse team = teams.get(job.spec().team());
    detach(lane);
    lane.jobs.remove(job);
    count(team, job, -job.waitingCount());
    attach(now, team, lane);
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
  void started(long now, JobRun job, double workMicros, int share) {
    TeamUse team = teams.get(job.spec().team());
    count(team, job, -1);
    team.lanes.values().forEach(this::detach);
    Lane lane = team.lanes.get(job.spec().classId());
    if (!job.hasWaiting()) {
      lane.jobs.remove(job);
    }
    team.share = share;
    team.use(now, workMicros);
    team.lanes.values().forEach(each -> attach(now, team, each));
  }

  private void detach(Lane lane) {
    if (!lane.jobs.isEmpty()) {
      lanes.remove(lane);
    }
  }

  private void attach(long now, TeamUse team, Lane lane) {
    if (!lane.jobs.isEmpty()) {
      lane.refreshKey(stepOf(now, team));
      lanes.add(lane);
    }
  }

  /** Returns 0 within the allowed share, and 1 more for each doubling beyond it. */
  private int stepOf(long now, TeamUse team) {
    double fair = slots * MEMORY_MICROS * team.share / Math.max(team.share, activeShares);
    double excess = team.usedAt(now) / (ALLOWANCE * fair);
    return excess <= 1 ? 0 : 1 + (int) (StrictMath.log(excess) / StrictMath.log(2));
  }

  /** Lets use be forgotten and shares follow the teams that are active. */
  void tick(long now, int usableSlots) {
    if (now < nextRefresh) {
      return;
    }
    nextRefresh = now + REFRESH;
    slots = Math.max(1, usableSlots);
    activeShares = 0;
    totalUse = 0;
    for (TeamUse team : teams.values()) {
      totalUse += team.usedAt(now);
      if (team.waiting > 0 || team.usedAt(now) > FORGOTTEN_MICROS) {
        activeShares += team.share;
      }
    }
    List<TeamUse> waiting = new ArrayList<>();
    for (TeamUse team : teams.values()) {
      if (team.waiting > 0) {
        waiting.add(team);
      }
    }
    lanes.clear();
    for (TeamUse team : waiting) {
      team.lanes.values().forEach(lane -> attach(now, team, lane));
    }
  }

  int waitingTasks() {
    return waitingTasks;
  }

  boolean isEmpty() {
    return lanes.isEmpty();
  }

  /**
   * Returns the expected worker time that goes before a new job of the team, in microseconds.
   *
   * <ul>
   *   <li>Within its share: all that waits, or what fair shares let go first, whichever is less.
   *   <li>Beyond its share: what the team itself has waiting, stretched since only the slots that
   *       the others leave serve it.
   * </ul>
   */
  double workBefore(long now, TeamId id, double queuedWork) {
    TeamUse team = teams.get(id);
    if (team == null) {
      return 0;
    }
    double turns = Math.max(1, activeShares / team.share);
    double fair = Math.min(queuedWork, team.queuedWork * turns);
    return Math.max(fair, team.queuedWork * stretch(now, id));
  }

  /** Returns how much longer work of the team takes since others go first; 1 within its share. */
  double stretch(long now, TeamId id) {
    TeamUse team = teams.get(id);
    if (team == null || stepOf(now, team) == 0) {
      return 1;
    }
    double others = Math.max(0, totalUse - team.usedAt(now)) / MEMORY_MICROS;
    return slots / Math.max(slots * LEAST_PART_LEFT, slots - others);
  }
}
