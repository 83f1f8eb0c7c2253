import type {
  JobProgress,
  JobRecord,
  Placements,
  QueueServicesRecord,
  SiteConfiguration,
  WorkerEntry,
} from '@toucanline/schema';
import { expect } from 'chai';
import {
  findViolations,
  Scheduler,
  schedulingLimits,
  type Command,
  type Worker,
} from '../src/index.js';
import { fixtures } from './fixtures.js';
import { ModelWorker } from './ModelWorker.js';
import { InvariantChecker } from './InvariantChecker.js';

const { configuration, job, queue, room, step, worker } = fixtures;

/** Step of the simulated time. */
const tickMs = 10;
/** Timeout of a call without a response. */
const callTimeoutMs = 400;
/** Services of the workers; each has its own workers, and the queue `batch` is moved from one to the other. */
const services = ['render', 'render', 'render', 'render', 'studio', 'studio'];
/** Longest time from the start of a worker to its entry in the platform's list. */
const maxEntryDelayMs = 1500;
/** Life of each worker at the beginning. */
const firstLife = 1_700_000_000_000;
/** Longest jump of the time of day of a worker's machine. */
const maxClockJumpSeconds = 10;
/** Longest time for which a worker that restarts is unreachable. */
const maxDowntimeMs = 500;

/** Ages of a leader's view of the evacuations: from the first nothing starts, at the second sent starts expire. */
const maxViewAgeMs = 3800;
const startExpiryMs = 4800;
/** Longest wait of a watch call for evacuations, and timeout after it. */
const watchMs = 600;
const storeTimeoutMs = 700;
const dataCentres = ['dc0', 'dc1', 'dc2'];
/** Cap of the account `planning` in milliprocessors: less than the offered load, so that its tasks wait. */
const planningCap = 12_000;
/** Shortest time between two writes of the placements, and of those for which starts wait. */
const placementsIntervalMs = 200;
const urgentPlacementsIntervalMs = 250;

/** A leader that is cut off with some workers: it reaches only these, and its successors only the others. */
interface ZoneCut {
  readonly until: number;
  /** Term of the leader that is cut off. */
  readonly term: number;
  readonly workers: ReadonlySet<string>;
}

/** Faults that a simulation adds to the common ones. */
interface SimulationOptions {
  /** Whether an account has a cap, leaders are cut off with some workers, and several change in a row. */
  readonly hasCaps?: boolean;
  /**
   * Whether no leader issues commands during some periods, longer than the leases, and workers restart and are cut off
   * soon after.
   */
  readonly hasOutages?: boolean;
  /** Random numbers of evacuations, paused leaders and leaders that are cut off from the store; absent: none of these. */
  readonly evacuationRandom?: () => number;
}

interface Leader {
  readonly scheduler: Scheduler;
  readonly term: number;
  /** Whether a worker has refused its fencing token. */
  isFenced: boolean;
  /** Simulated time at which it was superseded, in milliseconds; it continues for its grace period. */
  supersededAt: number;
  /** Simulated time at which the call that last confirmed the evacuations was sent, in milliseconds. */
  viewConfirmedAt: number;
  /** Simulated times in milliseconds until which it is paused, and until which the store is unreachable for it. */
  pausedUntil: number;
  storeLostUntil: number;
  /** Whether a write of the placements has no response yet, and when the last two kinds of writes began. */
  isWritingPlacements: boolean;
  placementsWrittenAt: number;
  urgentWriteAt: number;
}

/**
 * Simulates leaders, workers and a store on one clock, with lost and late calls, lost answers of the store, takeovers,
 * partitions, workers that restart under their ids, a queue that is moved between services and, by option,
 * evacuations of data centres, paused leaders, leaders that are cut off from the store or with some workers, and an account
 * that has a cap.
 */
export class SchedulerSimulation {
  public readonly checker: InvariantChecker;
  readonly #random: () => number;
  readonly #evacuationRandom: (() => number) | undefined;
  /** Evacuated data centres in the store. */
  #evacuated: readonly string[] = [];
  /** Whether an account has a cap, leaders are cut off with some workers, and several change in a row. */
  readonly #hasCaps: boolean;
  readonly #hasOutages: boolean;
  /** Simulated time in milliseconds until which no leader issues commands, because the store is unreachable. */
  #outageUntil = 0;
  readonly #workers = new Map<string, ModelWorker>();
  readonly #partitionedUntil = new Map<string, number>();
  readonly #records: { readonly record: JobRecord; readonly revision: number }[] = [];
  readonly #stored = new Map<string, JobProgress>();
  readonly #polledAt = new Map<string, number>();
  /** Listed entries of the workers; that of a restarted worker still shows the earlier incarnation for a while. */
  readonly #listed = new Map<string, WorkerEntry>();
  /** Numbers of the restarts that the listed entries show, by worker. */
  readonly #listedOrders = new Map<string, number>();
  /** Roster in the store, and the services of the queues. */
  #roster: readonly WorkerEntry[] = [];
  #queueServices: QueueServicesRecord | undefined;
  /** Current service of the queue `batch`. */
  #service = 'render';
  /** Suspended incarnations in the store, with the remaining run time in milliseconds when that was written. */
  #suspensions: ReadonlyMap<string, number> = new Map();
  /** Placements in the store, as JSON. */
  #placements: string | undefined;
  /** Number of the stored placements among all writes: one that takes effect late does not replace a later one. */
  #placementsNumber = 0;
  #placementsWriteCount = 0;
  #zoneCut: ZoneCut | undefined;
  #pending: { readonly at: number; readonly run: () => void }[] = [];
  #leaders: Leader[] = [];
  #revision = 1;
  #restartCount = 0;
  #term = 0;
  #hasFaults = false;
  #now = 0;

  public constructor(random: () => number, options: SimulationOptions = {}) {
    const { hasCaps = false, hasOutages = false, evacuationRandom } = options;
    this.#hasOutages = hasOutages;
    this.#random = random;
    this.#evacuationRandom = evacuationRandom;
    this.#hasCaps = hasCaps;
    this.checker = new InvariantChecker(new Map(hasCaps ? [['planning', planningCap]] : []));
    for (const [number, service] of services.entries()) {
      const dataCentre = `dc${number % dataCentres.length}`;
      const entry = worker(`w${number}`, { service, life: firstLife, dataCentre });
      this.#listWorker(this.#startWorker(entry));
    }
    this.#electLeader();
  }

  /** Ids of the jobs that the latest leader does not publish as completed or failed. */
  public get unfinished(): readonly string[] {
    const leader = this.#leaders.at(-1);
    return this.#records
      .map(({ record }) => record.id)
      .filter((id) => {
        const state = leader?.scheduler.findJobState(id);
        return state !== 'completed' && state !== 'failed';
      });
  }

  /** Advances the simulation by a duration, with or without injected faults. */
  public run(durationMs: number, hasFaults: boolean): void {
    const endsAt = this.#now + durationMs;
    this.#hasFaults = hasFaults;
    if (!hasFaults) for (const dataCentre of dataCentres) this.#withdraw(dataCentre);
    while (this.#now < endsAt) {
      this.#now += tickMs;
      if (hasFaults) this.#injectFaults();
      this.#deliverDue();
      for (const model of this.#workers.values()) model.advance(this.#now);
      for (const leader of this.#leaders) this.#runLeader(leader);
    }
  }

  public submit(): void {
    const id = `job${this.#records.length}`;
    const count = 1 + Math.floor(this.#random() * 4);
    const size = 500 + Math.floor(this.#random() * 3) * 1500;
    const record = job(id, [step(count, size), step(2, 1000, { dependsOn: [0] })], {
      queue: this.#random() < 0.3 ? 'urgent' : 'batch',
      account: this.#hasCaps && this.#random() < 0.7 ? 'broadcast' : 'planning',
    });
    this.#revision += 1;
    this.#records.push({ record, revision: this.#revision });
    this.checker.addJob(record);
    this.#leaders.at(-1)?.scheduler.addJob(record, this.#revision, this.#now);
  }

  #injectFaults(): void {
    if (this.#random() < 0.06) this.submit();
    if (this.#random() < 0.0007) this.#electLeader();
    if (this.#random() < 0.0015) {
      this.#partition(this.#chooseWorker(), this.#random() * 8000);
    }
    if (this.#random() < 0.001) this.#restartWorker(this.#chooseWorker());
    if (this.#random() < 0.002) this.#moveQueue();
    if (this.#random() < 0.0007) this.#moveQueueBeforeTakeover();
    if (this.#evacuationRandom !== undefined) this.#injectEvacuations(this.#evacuationRandom);
    if (this.#hasCaps && this.#random() < 0.0008) this.#cutOffLeader();
    if (this.#hasOutages) this.#injectOutages();
  }

  #injectOutages(): void {
    if (this.#random() < 0.0008) this.#outageUntil = this.#now + 1000 + this.#random() * 11_000;
    if (this.#random() >= 0.0015) return;
    const id = this.#chooseWorker();
    this.#restartWorker(id);
    this.#schedule(this.#random() * 3000, () => {
      this.#partition(id, 9000);
    });
  }

  #injectEvacuations(random: () => number): void {
    const dataCentre = dataCentres[Math.floor(random() * dataCentres.length)] ?? '';
    if (random() < 0.0015) this.#evacuate(dataCentre);
    else if (random() < 0.001) this.#withdraw(dataCentre);
    const leader = this.#leaders[Math.floor(random() * this.#leaders.length)];
    if (leader === undefined) return;
    if (random() < 0.001) leader.pausedUntil = this.#now + random() * 8000;
    if (random() < 0.002) leader.storeLostUntil = this.#now + random() * 8000;
  }

  #evacuate(dataCentre: string): void {
    if (this.#evacuated.includes(dataCentre)) return;
    this.#evacuated = [...this.#evacuated, dataCentre];
    this.checker.evacuate(dataCentre, this.#now);
  }

  /** Pauses the leader after it has sent a start that is delayed, so that it sends no stop, and evacuates the target. */
  #evacuateBeforeStart(leader: Leader, { entry }: Worker): void {
    leader.pausedUntil = this.#now + 8000;
    this.#evacuate(entry.dataCentre);
  }

  #withdraw(dataCentre: string): void {
    this.#evacuated = this.#evacuated.filter((each) => each !== dataCentre);
    this.checker.withdraw(dataCentre, this.#now);
  }

  /** Reads the evacuations as a leader does, with one call after the other, and loses a third of the responses. */
  #watchEvacuations(leader: Leader, random: () => number): void {
    if (!this.#leaders.includes(leader)) return;
    const sentAt = this.#now;
    const isLost = random() < 0.33 || sentAt < leader.storeLostUntil;
    this.#schedule(isLost ? watchMs + storeTimeoutMs : random() * watchMs, () => {
      const seen = this.#evacuated;
      this.#schedule(isLost ? 0 : random() * 100, () => {
        // A leader that is paused handles the response afterwards.
        this.#schedule(Math.max(0, leader.pausedUntil - this.#now), () => {
          if (!isLost) {
            const { evacuations } = leader.scheduler;
            for (const dataCentre of dataCentres)
              if (seen.includes(dataCentre)) evacuations.begin(dataCentre);
              else evacuations.end(dataCentre);
            leader.viewConfirmedAt = sentAt;
          }
          this.#watchEvacuations(leader, random);
        });
      });
    });
  }

  /** Cuts off the leader with half of the workers; another one is elected, and often a third one soon after. */
  #cutOffLeader(): void {
    const workers = new Set([...this.#workers.keys()].filter(() => this.#random() < 0.5));
    const until = this.#now + 1000 + this.#random() * 6000;
    this.#zoneCut = { until, term: this.#term, workers };
    // During the cut each leader reaches only one half of the workers.
    for (const id of this.#workers.keys()) {
      const since = Math.max(until, this.checker.reachableSince.get(id) ?? 0);
      this.checker.reachableSince.set(id, since);
    }
    this.#schedule(this.#random() * 1500, () => {
      this.#electLeader();
    });
    if (this.#random() < 0.5) {
      this.#schedule(1500 + this.#random() * 3000, () => {
        this.#electLeader();
      });
    }
  }

  #chooseWorker(): string {
    return `w${Math.floor(this.#random() * services.length)}`;
  }

  #partition(id: string, durationMs: number): void {
    const until = Math.max(this.#partitionedUntil.get(id) ?? 0, this.#now + durationMs);
    this.#partitionedUntil.set(id, until);
    this.checker.reachableSince.set(id, until);
  }

  /** Restarts a worker under its id, which takes a moment; its entry follows later. */
  #restartWorker(id: string): void {
    const previous = this.#workers.get(id);
    if (previous === undefined) return;
    this.checker.liveWorkers.delete(previous);
    this.#partition(id, this.#random() * maxDowntimeMs);
    this.#restartCount += 1;
    // The time of day of the worker's machine may have jumped back. Each life has another value.
    const jumpMs = Math.floor((this.#random() - 0.5) * 2 * maxClockJumpSeconds) * 1000;
    const entry = this.#startWorker({
      ...previous.entry,
      life: firstLife + jumpMs + this.#restartCount,
    });
    const order = this.#restartCount;
    this.#schedule(this.#random() * maxEntryDelayMs, () => {
      if ((this.#listedOrders.get(id) ?? 0) > order) return;
      this.#listedOrders.set(id, order);
      this.#listWorker(entry);
    });
  }

  #moveQueue(): void {
    this.#service = this.#service === 'render' ? 'studio' : 'render';
    // A previous leader cannot read the configuration.
    this.#leaders.at(-1)?.scheduler.configure(this.#createConfiguration());
  }

  /** Moves the queue, cuts off a worker that may run its tasks, and replaces the leader. */
  #moveQueueBeforeTakeover(): void {
    this.#moveQueue();
    this.#schedule(this.#random() * 1000, () => {
      this.#partition(this.#chooseWorker(), 6000);
      this.#schedule(this.#random() * 300, () => {
        this.#electLeader();
      });
    });
  }

  #createConfiguration(): SiteConfiguration {
    return configuration({
      queues: [
        queue('batch', { service: this.#service }),
        queue('urgent', { priority: 0, objectiveMs: 250, stretch: 1.5 }),
      ],
      ...(this.#hasCaps
        ? {
            accounts: [
              { name: 'planning', weight: 100, keys: [], cap: room(planningCap, 0) },
              { name: 'broadcast', weight: 100, keys: [] },
            ],
          }
        : {}),
    });
  }

  #startWorker(entry: WorkerEntry): WorkerEntry {
    const model = new ModelWorker(entry, this.checker, this.#now);
    this.#workers.set(entry.id, model);
    this.checker.liveWorkers.add(model);
    return entry;
  }

  #listWorker(entry: WorkerEntry): void {
    this.#listed.set(entry.id, entry);
    this.#revision += 1;
    // A previous leader ignores entries that it receives after its last renewal of the leader lease.
    for (const { scheduler, supersededAt } of this.#leaders) {
      if (supersededAt === Infinity)
        scheduler.updateWorker(entry, false, undefined, this.#revision);
    }
  }

  #electLeader(): void {
    this.#term += 1;
    this.#revision += 1;
    const previous = this.#leaders.at(-1);
    if (previous !== undefined) previous.supersededAt = this.#now;
    const scheduler = new Scheduler(this.#term, this.#revision, this.#now, {
      maxStopMs: 200,
      maxLeaseMs: 6000,
    });
    scheduler.configure(this.#createConfiguration());
    for (const progress of this.#stored.values()) scheduler.restoreProgress(progress, this.#now);
    for (const { record, revision } of this.#records) {
      scheduler.addJob(record, revision, this.#now);
    }
    scheduler.queueServices.restore(this.#queueServices);
    for (const entry of this.#roster) {
      const remainingMs = this.#suspensions.get(formatIncarnation(entry));
      const added = scheduler.updateWorker(entry, true, remainingMs);
      if (remainingMs !== undefined) added?.suspend();
    }
    scheduler.restorePlacements(
      this.#placements === undefined ? undefined : (JSON.parse(this.#placements) as Placements),
    );
    for (const entry of this.#listed.values()) scheduler.updateWorker(entry, false);
    const leader: Leader = {
      scheduler,
      term: this.#term,
      isFenced: false,
      supersededAt: Infinity,
      isWritingPlacements: false,
      placementsWrittenAt: -Infinity,
      urgentWriteAt: -Infinity,
      viewConfirmedAt: -Infinity,
      pausedUntil: 0,
      storeLostUntil: 0,
    };
    this.#leaders = [...this.#leaders.filter((each) => each === previous || this.#hasCaps), leader];
    if (this.#evacuationRandom !== undefined)
      this.#watchEvacuations(leader, this.#evacuationRandom);
  }

  /** Writes the placements at intervals, or at once if starts wait; writes and responses may be lost or late. */
  #writePlacements(leader: Leader): void {
    const { scheduler } = leader;
    const { isShort, isWriteNeeded } = scheduler.capAllowances;
    if (leader.isWritingPlacements || leader.supersededAt !== Infinity) return;
    const isDue = this.#now - leader.placementsWrittenAt >= placementsIntervalMs;
    const isUrgent =
      isShort && isWriteNeeded && this.#now - leader.urgentWriteAt >= urgentPlacementsIntervalMs;
    if (!isDue && !isUrgent) return;
    if (!isDue) leader.urgentWriteAt = this.#now;
    leader.placementsWrittenAt = this.#now;
    leader.isWritingPlacements = true;
    const placements = scheduler.beginPlacementsWrite(false);
    this.#placementsWriteCount += 1;
    const number = this.#placementsWriteCount;
    const value = JSON.stringify(placements);
    const apply = (): boolean => {
      // The store has another leader, or has executed a later write on the same condition.
      if (leader.supersededAt !== Infinity || number < this.#placementsNumber) return false;
      this.#placementsNumber = number;
      this.#placements = value;
      return true;
    };
    const chance = this.#random();
    const effectMs = chance < 0.05 ? 2000 + this.#random() * 10_000 : this.#random() * 100;
    const isAnswered = chance >= 0.12;
    let isApplied = false;
    if (chance >= 0.03)
      this.#schedule(effectMs, () => {
        isApplied = apply();
      });
    this.#schedule(isAnswered ? 100 + this.#random() * 50 : callTimeoutMs, () => {
      leader.isWritingPlacements = false;
      if (isAnswered && isApplied) scheduler.capAllowances.confirmWrite(placements.allowances);
    });
  }

  #runLeader(leader: Leader): void {
    const { scheduler, supersededAt } = leader;
    const isGraceOver = this.#now > supersededAt + schedulingLimits.leaderGraceMs;
    if (isGraceOver || leader.isFenced || this.#now < leader.pausedUntil) return;
    if (this.#now < this.#outageUntil) return;
    if (this.#evacuationRandom !== undefined)
      scheduler.evacuations.setConfirmed(this.#now - leader.viewConfirmedAt < maxViewAgeMs);
    const isCurrent = supersededAt === Infinity;
    this.#updateRoster(scheduler, isCurrent && this.#random() < 0.2);
    const commands = scheduler.plan(this.#now, this.#now, isCurrent);
    expect(findViolations(commands, scheduler.evacuations)).to.deep.equal([]);
    for (const command of commands) this.#execute(leader, command);
    for (const each of scheduler.workers)
      if (scheduler.isReportNeeded(each)) this.#requestReport(leader, each);
    if (this.#hasCaps) this.#writePlacements(leader);
    // Only the holder of the leader lease can write.
    if (supersededAt !== Infinity || !scheduler.progress.hasPending) return;
    const batch = scheduler.progress.takeBatch();
    const chance = this.#random();
    if (chance >= 0.05)
      for (const progress of batch.progress) this.#stored.set(progress.id, progress);
    // The second half of these writes takes effect, but its answers are lost.
    if (chance < 0.1) scheduler.progress.requeueBatch(batch);
    else scheduler.progress.confirmBatch(batch);
  }

  /**
   * Suspends workers that do not respond or are not in the stored roster. Only the holder of the leader lease writes the
   * roster to the store, some time later, and may not learn that the write took effect.
   */
  #updateRoster(scheduler: Scheduler, isWritten: boolean): void {
    const { workers, queueServices } = scheduler;
    const stored = new Set(this.#roster.map(formatIncarnation));
    const isUnreachable = ({ callFailures, isListed, tasks }: Worker): boolean =>
      callFailures >= 2 || (!isListed && tasks.size === 0);
    for (const each of workers)
      if (isUnreachable(each) || !stored.has(formatIncarnation(each))) each.suspend();
    if (!isWritten) return;
    const members = workers.filter(
      (each) =>
        each.isSurveyed ||
        stored.has(formatIncarnation(each)) ||
        scheduler.computeRemainingMs(each, this.#now) > 0,
    );
    const staying = members.filter(
      (each) => each.isSuspended && (isUnreachable(each) || !each.isSurveyed),
    );
    this.#suspensions = new Map(
      staying.map((each) => [
        formatIncarnation(each),
        scheduler.computeRemainingMs(each, this.#now),
      ]),
    );
    this.#roster = members.map(({ entry }) => entry);
    this.#queueServices = queueServices.describe();
    queueServices.beginWrite(this.#queueServices);
    if (this.#random() < 0.1) return;
    queueServices.confirmWrite(this.#queueServices);
    for (const each of members) if (!this.#suspensions.has(formatIncarnation(each))) each.resume();
  }

  #execute(leader: Leader, command: Command): void {
    const { scheduler } = leader;
    if (command.kind === 'advise') return;
    const { task, run, worker: target } = command;
    if (command.kind === 'stop') {
      const fencingToken = target.fence.token;
      this.#call(
        leader,
        target,
        (model) => model.stop(task.name, run, fencingToken, this.#now),
        (response) => {
          if (response === 'fenced' && !scheduler.isOvertaken(target, fencingToken))
            leader.isFenced = true;
          scheduler.handleStopOutcome(command, response === 'confirmed', this.#now);
        },
      );
      return;
    }
    const startTimeLeftMs =
      this.#evacuationRandom === undefined
        ? Infinity
        : leader.viewConfirmedAt + startExpiryMs - this.#now;
    const lease = target.extendLease(this.#now, startTimeLeftMs);
    const durationMs = 100 + this.#random() * 1500;
    const outcome = this.#random() < 0.05 ? 'failed' : 'done';
    const sentAt = this.#now;
    const token = target.fence.beginStart();
    const start = { task: task.name, run, token };
    const isDelayed =
      this.#hasFaults && this.#evacuationRandom !== undefined && this.#evacuationRandom() < 0.002;
    if (isDelayed) this.#evacuateBeforeStart(leader, target);
    this.#call(
      leader,
      target,
      (model) => ({
        outcome: model.start(start, lease, this.#now, durationMs, outcome),
        clockMs: model.readClock(this.#now),
      }),
      (response) => {
        target.endStart(response?.clockMs, sentAt, this.#now);
        if (response?.outcome === 'fenced' && !scheduler.isOvertaken(target, token))
          leader.isFenced = true;
        scheduler.handleStartOutcome(command, response?.outcome ?? 'unknown', this.#now);
      },
      isDelayed,
    );
  }

  #requestReport(leader: Leader, target: Worker): void {
    const { scheduler, term } = leader;
    const key = `${term}/${target.id}/${target.life}`;
    if (this.#now - (this.#polledAt.get(key) ?? -Infinity) < 100) return;
    this.#polledAt.set(key, this.#now);
    const sentAt = this.#now;
    const mayExtend = target.isSurveyed && !target.isSuspended;
    const lease = mayExtend ? target.extendLease(sentAt) : undefined;
    const { acknowledgement } = target;
    const token = acknowledgement > 0 ? target.fence.beginAcknowledgement() : target.fence.token;
    this.#call(
      leader,
      target,
      (model) => model.report(token, acknowledgement, lease, this.#now),
      (report) => {
        if (report !== undefined && acknowledgement > 0) target.fence.endAcknowledgement(token);
        if (report === 'fenced') {
          if (!scheduler.isOvertaken(target, token)) leader.isFenced = true;
          return;
        }
        if (report === undefined) {
          target.recordCallFailure(this.#now, sentAt);
          return;
        }
        const strays = scheduler.handleReport(target, report, sentAt, this.#now, this.#now);
        for (const { task, run } of strays) {
          const fencingToken = target.fence.token;
          this.#call(
            leader,
            target,
            (model) => model.stop(task, run, fencingToken, this.#now),
            ignore,
          );
        }
      },
    );
  }

  /** Delivers a call, loses its response, or executes it seconds later without a response. */
  #call<Answer>(
    { term }: Leader,
    target: Worker,
    act: (model: ModelWorker) => Answer,
    handle: (response: Answer | undefined) => void,
    isDelayed = false,
  ): void {
    // A call names the worker by its id, so any incarnation executes it.
    const findReachable = (): ModelWorker | undefined =>
      (this.#partitionedUntil.get(target.id) ?? 0) > this.#now || this.#isCutOff(term, target.id)
        ? undefined
        : this.#workers.get(target.id);
    const timeOut = (): void => {
      this.#schedule(callTimeoutMs, () => {
        handle(undefined);
      });
    };
    const chance = this.#random();
    const model = findReachable();
    if (model === undefined || (chance < 0.02 && !isDelayed)) timeOut();
    else if (chance < 0.05 || isDelayed) {
      timeOut();
      // A delayed start is mostly executed before a lease of full length ends.
      this.#schedule(2000 + this.#random() * (isDelayed ? 4000 : 10_000), () => {
        const lateModel = findReachable();
        // The next incarnation executes the call as well: it knows neither that the run was stopped nor that the call
        // acknowledges ends of the one before.
        if (lateModel !== undefined) act(lateModel);
      });
    } else if (chance < 0.07) {
      act(model);
      timeOut();
    } else {
      const response = act(model);
      this.#schedule(this.#random() * 30, () => {
        handle(response);
      });
    }
  }

  #isCutOff(term: number, worker: string): boolean {
    const cut = this.#zoneCut;
    if (cut === undefined || cut.until <= this.#now) return false;
    return cut.workers.has(worker) !== term <= cut.term;
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#pending.push({ at: this.#now + delayMs, run });
  }

  #deliverDue(): void {
    const due = this.#pending.filter(({ at }) => at <= this.#now);
    this.#pending = this.#pending.filter(({ at }) => at > this.#now);
    for (const { run } of due) run();
  }
}

const ignore = (): void => undefined;

const formatIncarnation = ({ id, life }: { readonly id: string; readonly life: number }): string =>
  `${id}/${life}`;
