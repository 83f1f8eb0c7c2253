import type { QuarantinedWorker, Request } from '@toucanline/schema';
import type { Fleet } from './Fleet.js';
import { OutcomeHistory } from './OutcomeHistory.js';
import type { Policy } from './Policy.js';
import type { ShardContext } from './ShardContext.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Failed task that counts against its worker unless the job turns out to be bad. */
interface WorkerFailure {
  /** Digest of the request body, which identifies the job. */
  readonly digest: string;
  /** Workload of the request, as named by the outcome history. */
  readonly workload: string;
  readonly team: string;
}

/** Quarantine state of one worker. */
interface QuarantineState {
  /** Local monotonic time of the next probe, in milliseconds. */
  readonly probeAt: number;
  /**
   * Wall time of the next probe, in milliseconds. Calculated once, so that the record for the next owner changes
   * only when the probe does.
   */
  readonly probeAtMs: number;
  /** Number of the next or current probe, counted from 1. */
  readonly probes: number;
  readonly isProbing: boolean;
}

/** Number of failures kept per worker, the newest ones. */
const maxFailuresPerWorker = 20;
/** Number of distinct workloads and teams required if no failed job is known to succeed elsewhere. */
const minWorkloads = 3;
const minTeams = 2;
const maxProbeDelayMs = 3_600_000;
/** Number of workers listed for the next owner; the schema of the record has the same bound. */
const maxListedWorkers = 500;
/** Time for which a quarantine of the previous owner is kept until its worker is known, in milliseconds. */
const maxRestoreWaitMs = 60_000;

/**
 * Distinguishes bad workers from bad jobs. A worker is put in quarantine if distinct jobs failed on it that
 * succeeded elsewhere, or if jobs of several workloads and teams failed on it that failed nowhere else. During
 * the quarantine the worker runs single probe tasks after exponentially growing delays; a probe that succeeds
 * ends the quarantine.
 */
export class Quarantine {
  readonly #context: ShardContext;
  readonly #fleet: Fleet;
  readonly #readPolicy: () => Policy;
  readonly #history = new OutcomeHistory();
  readonly #failures = new Map<string, readonly WorkerFailure[]>();
  readonly #quarantined = new Map<string, QuarantineState>();
  /** Quarantines of the previous owner that are not yet in effect, by worker. */
  readonly #unappliedRestored = new Map<string, QuarantinedWorker>();
  /** Local monotonic time at which the quarantines of the previous owner were restored, in milliseconds. */
  #restoredAt: number | undefined;

  /**
   * @param context - context shared by the components of the shard
   * @param fleet - workers of the shard
   * @param readPolicy - reads the policy in effect
   */
  public constructor(context: ShardContext, fleet: Fleet, readPolicy: () => Policy) {
    this.#context = context;
    this.#fleet = fleet;
    this.#readPolicy = readPolicy;
  }

  /**
   * Records that a task succeeded.
   *
   * @param worker - worker that ran the task
   * @param request - request of the task
   */
  public recordSuccess(worker: WorkerRecord, request: Request): void {
    this.#history.recordSuccess(request, worker.id);
    this.#unappliedRestored.delete(worker.id);
    const state = this.#quarantined.get(worker.id);
    if (state?.isProbing === true) this.#release(worker, 'a probe succeeded');
    const failures = this.#failures.get(worker.id) ?? [];
    // One success removes the oldest failure, so a worker that fails most of its tasks is still detected.
    if (failures.length > 0) this.#failures.set(worker.id, failures.slice(1));
    // The job may have failed on another worker, and that failure now counts against that worker.
    for (const id of this.#history.listFailedWorkers(request)) this.#evaluate(id);
  }

  /**
   * Records that a task failed by itself, as opposed to being stopped or lost.
   *
   * @param worker - worker that ran the task
   * @param request - request of the task
   */
  public recordFailure(worker: WorkerRecord, request: Request): void {
    const { digest, team } = request;
    const workload = this.#history.recordFailure(request, worker.id);
    const state = this.#quarantined.get(worker.id);
    if (state?.isProbing === true) {
      this.#quarantineWithBackoff(worker, state.probes + 1, 'a probe failed');
      return;
    }
    const failures = (this.#failures.get(worker.id) ?? []).filter(
      (known) => known.digest !== digest,
    );
    this.#failures.set(
      worker.id,
      [...failures, { digest, workload, team }].slice(-maxFailuresPerWorker),
    );
    this.#evaluate(worker.id);
  }

  /**
   * Lists the workers in quarantine, for the next owner.
   *
   * @returns the workers with the number and time of their next probe
   */
  public listQuarantined(): readonly QuarantinedWorker[] {
    const quarantined = [...this.#quarantined].map(([worker, { probes, probeAtMs }]) => ({
      worker,
      probes,
      probeAtMs,
    }));
    return [...quarantined, ...this.#unappliedRestored.values()].slice(0, maxListedWorkers);
  }

  /**
   * Continues the quarantines of the previous owner. Only the first call has an effect: a snapshot arrives before
   * the record in the store, which may be older.
   *
   * @param quarantined - workers that were in quarantine
   */
  public restore(quarantined: readonly QuarantinedWorker[]): void {
    if (this.#restoredAt !== undefined) return;
    this.#restoredAt = this.#context.clock.now();
    for (const state of quarantined) this.#unappliedRestored.set(state.worker, state);
    this.applyHosts();
  }

  /** Puts workers that the previous owner had in quarantine into quarantine once they are known. */
  public applyHosts(): void {
    const { clock } = this.#context;
    for (const [id, { probes, probeAtMs }] of this.#unappliedRestored) {
      const worker = this.#fleet.find(id);
      if (worker === undefined || !this.#canQuarantine()) continue;
      this.#unappliedRestored.delete(id);
      // Clamped, because the wall clock of the previous owner may have been wrong.
      const delayMs = Math.min(Math.max(0, probeAtMs - clock.wallTime()), maxProbeDelayMs);
      this.#quarantine(worker, probes, delayMs, 'the previous owner had the worker in quarantine');
    }
  }

  /** Starts due probes and removes workers that left. */
  public tick(): void {
    const now = this.#context.clock.now();
    this.applyHosts();
    if (now - (this.#restoredAt ?? now) > maxRestoreWaitMs) this.#unappliedRestored.clear();
    for (const [id, state] of this.#quarantined) {
      const worker = this.#fleet.find(id);
      if (worker === undefined) {
        this.#quarantined.delete(id);
        this.#failures.delete(id);
      } else if (!state.isProbing && now >= state.probeAt) {
        this.#quarantined.set(id, { ...state, isProbing: true });
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
    const failures = this.#failures.get(id) ?? [];
    const confirmed = failures.filter(({ digest }) =>
      this.#history.hasSucceededElsewhere(digest, id),
    );
    const unexplained = failures.filter(
      ({ digest, workload }) =>
        !this.#history.hasSucceededElsewhere(digest, id) &&
        !this.#history.hasFailedElsewhere(digest, id) &&
        !this.#history.hasWorkloadFailedElsewhere(workload, id),
    );
    const hasEnoughWorkloads =
      new Set(unexplained.map(({ workload }) => workload)).size >= minWorkloads;
    const hasEnoughTeams = new Set(unexplained.map(({ team }) => team)).size >= minTeams;
    const counted =
      confirmed.length + (hasEnoughWorkloads && hasEnoughTeams ? unexplained.length : 0);
    const { failures: failureThreshold } = this.#readPolicy().quarantine;
    if (counted < failureThreshold || !this.#canQuarantine()) return;
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
