import type { QuarantinedWorker, Request } from '@toucanline/schema';
import type { Fleet } from './Fleet.js';
import { OutcomeHistory } from './OutcomeHistory.js';
import type { Policy } from './Policy.js';
import type { ShardContext } from './ShardContext.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Failure that speaks against a worker unless the job turns out to be bad. */
interface WorkerFailure {
  readonly digest: string;
  readonly workload: string;
  readonly team: string;
}

/** Quarantine of one worker. */
interface QuarantineState {
  /** Local monotonic time of the next probe, in milliseconds. */
  readonly probeAt: number;
  /** The same as wall time: computed once, so that the record of the next owner changes only with it. */
  readonly probeAtMs: number;
  readonly probes: number;
  readonly isProbing: boolean;
}

/** Failures kept per worker; older ones are forgotten. */
const maxFailuresPerWorker = 20;
/** Kinds of jobs and teams needed when no failed job is known to succeed elsewhere. */
const minWorkloads = 3;
const minTeams = 2;
const maxProbeDelayMs = 3_600_000;
/** Workers whose quarantine is told to the next owner; the schema of the record has the same bound. */
const maxListed = 500;
/** Time for which a quarantine of the former owner waits until its worker is known. */
const maxRestoreWaitMs = 60_000;

/**
 * Tells bad workers from bad jobs. A worker is put in quarantine when distinct jobs fail there that
 * succeed elsewhere, or jobs of several kinds and teams that failed nowhere else. While it is in
 * quarantine, one task at a time is let through after growing intervals; its success ends the quarantine.
 */
export class Quarantine {
  readonly #context: ShardContext;
  readonly #fleet: Fleet;
  readonly #readPolicy: () => Policy;
  readonly #history = new OutcomeHistory();
  readonly #failures = new Map<string, readonly WorkerFailure[]>();
  readonly #quarantined = new Map<string, QuarantineState>();
  /** Quarantine of the former owner that did not take effect yet. */
  readonly #unappliedRestored = new Map<string, QuarantinedWorker>();
  /** Local monotonic time at which that of the former owner was learned, in milliseconds. */
  #restoredAt: number | undefined;

  /**
   * @param context - what the parts of the shard share
   * @param fleet - workers of the shard
   * @param readPolicy - reads the policy in effect
   */
  public constructor(context: ShardContext, fleet: Fleet, readPolicy: () => Policy) {
    this.#context = context;
    this.#fleet = fleet;
    this.#readPolicy = readPolicy;
  }

  /**
   * Notes the success of a task.
   *
   * @param worker - worker that ran it
   * @param request - its request
   */
  public recordSuccess(worker: WorkerRecord, request: Request): void {
    this.#history.recordSuccess(request, worker.id);
    this.#unappliedRestored.delete(worker.id);
    const isolation = this.#quarantined.get(worker.id);
    if (isolation?.isProbing === true) this.#release(worker, 'a probe succeeded');
    const evidence = this.#failures.get(worker.id) ?? [];
    // One success outweighs one failure, so a worker that fails most of its tasks is still found.
    if (evidence.length > 0) this.#failures.set(worker.id, evidence.slice(1));
    // The job may have failed on another worker, which now speaks against that worker.
    for (const id of this.#history.listFailedWorkers(request)) this.#evaluate(id);
  }

  /**
   * Notes that a task failed by itself, as opposed to being stopped or lost.
   *
   * @param worker - worker that ran it
   * @param request - its request
   */
  public recordFailure(worker: WorkerRecord, request: Request): void {
    const { digest: job, team } = request;
    const kind = this.#history.recordFailure(request, worker.id);
    const isolation = this.#quarantined.get(worker.id);
    if (isolation?.isProbing === true) {
      this.#quarantineWithBackoff(worker, isolation.probes + 1, 'a probe failed');
      return;
    }
    const evidence = (this.#failures.get(worker.id) ?? []).filter((known) => known.digest !== job);
    this.#failures.set(
      worker.id,
      [...evidence, { digest: job, workload: kind, team }].slice(-maxFailuresPerWorker),
    );
    this.#evaluate(worker.id);
  }

  /**
   * Lists the workers in quarantine, for the next owner.
   *
   * @returns the workers with their next probes
   */
  public listQuarantined(): readonly QuarantinedWorker[] {
    const isolated = [...this.#quarantined].map(([worker, { probes, probeAtMs }]) => ({
      worker,
      probes,
      probeAtMs,
    }));
    return [...isolated, ...this.#unappliedRestored.values()].slice(0, maxListed);
  }

  /**
   * Goes on with the quarantine of the former owner. The first list counts: a snapshot comes before the
   * record in the store, which may be older.
   *
   * @param quarantined - workers that were in quarantine
   */
  public restore(quarantined: readonly QuarantinedWorker[]): void {
    if (this.#restoredAt !== undefined) return;
    this.#restoredAt = this.#context.clock.now();
    for (const isolation of quarantined) this.#unappliedRestored.set(isolation.worker, isolation);
    this.applyHosts();
  }

  /** Puts workers of the former owner's quarantine into quarantine once they are known. */
  public applyHosts(): void {
    const { clock } = this.#context;
    for (const [id, { probes, probeAtMs }] of this.#unappliedRestored) {
      const worker = this.#fleet.find(id);
      if (worker === undefined || !this.#canQuarantine()) continue;
      this.#unappliedRestored.delete(id);
      // The wall clock of the former owner may have been wrong.
      const delayMs = Math.min(Math.max(0, probeAtMs - clock.wallTime()), maxProbeDelayMs);
      this.#quarantine(worker, probes, delayMs, 'the former owner had the worker in quarantine');
    }
  }

  /** Starts probes that are due and forgets workers that left. */
  public tick(): void {
    const now = this.#context.clock.now();
    this.applyHosts();
    if (now - (this.#restoredAt ?? now) > maxRestoreWaitMs) this.#unappliedRestored.clear();
    for (const [id, isolation] of this.#quarantined) {
      const worker = this.#fleet.find(id);
      if (worker === undefined) {
        this.#quarantined.delete(id);
        this.#failures.delete(id);
      } else if (!isolation.isProbing && now >= isolation.probeAt) {
        this.#quarantined.set(id, { ...isolation, isProbing: true });
        worker.setProbing(true);
      }
    }
    for (const id of this.#failures.keys()) {
      if (this.#fleet.find(id) === undefined) this.#failures.delete(id);
    }
  }

  #evaluate(id: string): void {
    const worker = this.#fleet.find(id);
    if (worker === undefined || this.#quarantined.has(id)) return;
    const evidence = this.#failures.get(id) ?? [];
    const confirmed = evidence.filter(({ digest: job }) =>
      this.#history.hasSucceededElsewhere(job, id),
    );
    const open = evidence.filter(
      ({ digest: job, workload: kind }) =>
        !this.#history.hasSucceededElsewhere(job, id) &&
        !this.#history.hasFailedElsewhere(job, id) &&
        !this.#history.hasWorkloadFailedElsewhere(kind, id),
    );
    const hasManyKinds = new Set(open.map(({ workload: kind }) => kind)).size >= minWorkloads;
    const hasManyTeams = new Set(open.map(({ team }) => team)).size >= minTeams;
    const counted = confirmed.length + (hasManyKinds && hasManyTeams ? open.length : 0);
    const { failures } = this.#readPolicy().quarantine;
    if (counted < failures || !this.#canQuarantine()) return;
    this.#quarantineWithBackoff(worker, 1, `${counted} distinct jobs failed here and nowhere else`);
  }

  #canQuarantine(): boolean {
    const { maxFraction } = this.#readPolicy().quarantine;
    return this.#quarantined.size + 1 <= maxFraction * this.#fleet.workers.length;
  }

  #quarantineWithBackoff(worker: WorkerRecord, probes: number, detail: string): void {
    const { firstProbeMs } = this.#readPolicy().quarantine;
    const delayMs = Math.min(firstProbeMs * 2 ** (probes - 1), maxProbeDelayMs);
    this.#quarantine(worker, probes, delayMs, detail);
  }

  #quarantine(worker: WorkerRecord, probes: number, delayMs: number, detail: string): void {
    const { clock, recorder, shard, invariant } = this.#context;
    const isNew = !this.#quarantined.has(worker.id);
    const probeAt = clock.now() + delayMs;
    const probeAtMs = Math.round(clock.wallTime() + delayMs);
    this.#quarantined.set(worker.id, { probeAt, probeAtMs, probes, isProbing: false });
    this.#failures.delete(worker.id);
    worker.setProbing(false);
    worker.setQuarantined(true);
    const text = `${detail}; next probe in ${Math.round(delayMs / 1000)} s`;
    recorder.record('workerQuarantined', { worker: worker.id, shard, detail: text });
    const { maxFraction } = this.#readPolicy().quarantine;
    invariant.check(
      !isNew || this.#quarantined.size <= maxFraction * this.#fleet.workers.length,
      () => `${this.#quarantined.size} workers are in quarantine`,
    );
  }

  #release(worker: WorkerRecord, detail: string): void {
    const { recorder, shard } = this.#context;
    this.#quarantined.delete(worker.id);
    worker.setProbing(false);
    worker.setQuarantined(false);
    recorder.record('workerReleased', { worker: worker.id, shard, detail });
  }
}
