import type { QuarantinedWorker, Request } from '@toucanline/schema';
import type { Fleet } from './Fleet.js';
import { JobHistory } from './JobHistory.js';
import type { Policy } from './Policy.js';
import type { ShardContext } from './ShardContext.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Failure that speaks against a worker unless the job turns out to be bad. */
interface Evidence {
  readonly job: string;
  readonly kind: string;
  readonly team: string;
}

/** Quarantine of one worker. */
interface Isolation {
  /** Local monotonic time of the next probe, in milliseconds. */
  readonly probeAt: number;
  /** The same as wall time: computed once, so that the record of the next owner changes only with it. */
  readonly probeAtMs: number;
  readonly probes: number;
  readonly probing: boolean;
}

/** Failures kept per worker; older ones are forgotten. */
const maxEvidence = 20;
/** Kinds of jobs and teams needed when no failed job is known to succeed elsewhere. */
const minKinds = 3;
const minTeams = 2;
const maxProbeMs = 3_600_000;
/** Workers whose quarantine is told to the next owner; the schema of the record has the same bound. */
const maxListed = 500;
/** Time for which a quarantine of the former owner waits until its worker is known. */
const maxCarriedMs = 60_000;

/**
 * Tells bad workers from bad jobs. A worker is put in quarantine when distinct jobs fail there that
 * succeed elsewhere, or jobs of several kinds and teams that failed nowhere else. While it is in
 * quarantine, one task at a time is let through after growing intervals; its success ends the quarantine.
 */
export class Quarantine {
  readonly #context: ShardContext;
  readonly #fleet: Fleet;
  readonly #readPolicy: () => Policy;
  readonly #history = new JobHistory();
  readonly #evidence = new Map<string, readonly Evidence[]>();
  readonly #isolations = new Map<string, Isolation>();
  /** Quarantine of the former owner that did not take effect yet. */
  readonly #carried = new Map<string, QuarantinedWorker>();
  /** Local monotonic time at which that of the former owner was learned, in milliseconds. */
  #carriedAt: number | undefined;

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
  public noteSuccess(worker: WorkerRecord, request: Request): void {
    this.#history.noteSuccess(request, worker.id);
    this.#carried.delete(worker.id);
    const isolation = this.#isolations.get(worker.id);
    if (isolation?.probing === true) this.#release(worker, 'a probe succeeded');
    const evidence = this.#evidence.get(worker.id) ?? [];
    // One success outweighs one failure, so a worker that fails most of its tasks is still found.
    if (evidence.length > 0) this.#evidence.set(worker.id, evidence.slice(1));
    // The job may have failed on another worker, which now speaks against that worker.
    for (const id of this.#history.listFailed(request)) this.#judge(id);
  }

  /**
   * Notes that a task failed by itself, as opposed to being stopped or lost.
   *
   * @param worker - worker that ran it
   * @param request - its request
   */
  public noteFailure(worker: WorkerRecord, request: Request): void {
    const { digest: job, team } = request;
    const kind = this.#history.noteFailure(request, worker.id);
    const isolation = this.#isolations.get(worker.id);
    if (isolation?.probing === true) {
      this.#isolate(worker, isolation.probes + 1, 'a probe failed');
      return;
    }
    const evidence = (this.#evidence.get(worker.id) ?? []).filter((known) => known.job !== job);
    this.#evidence.set(worker.id, [...evidence, { job, kind, team }].slice(-maxEvidence));
    this.#judge(worker.id);
  }

  /**
   * Lists the workers in quarantine, for the next owner.
   *
   * @returns the workers with their next probes
   */
  public list(): readonly QuarantinedWorker[] {
    const isolated = [...this.#isolations].map(([worker, { probes, probeAtMs }]) => ({
      worker,
      probes,
      probeAtMs,
    }));
    return [...isolated, ...this.#carried.values()].slice(0, maxListed);
  }

  /**
   * Goes on with the quarantine of the former owner. The first list counts: a snapshot comes before the
   * record in the store, which may be older.
   *
   * @param quarantined - workers that were in quarantine
   */
  public restore(quarantined: readonly QuarantinedWorker[]): void {
    if (this.#carriedAt !== undefined) return;
    this.#carriedAt = this.#context.clock.now();
    for (const isolation of quarantined) this.#carried.set(isolation.worker, isolation);
    this.applyHosts();
  }

  /** Puts workers of the former owner's quarantine into quarantine once they are known. */
  public applyHosts(): void {
    const { clock } = this.#context;
    for (const [id, { probes, probeAtMs }] of this.#carried) {
      const worker = this.#fleet.find(id);
      if (worker === undefined || !this.#mayIsolate()) continue;
      this.#carried.delete(id);
      // The wall clock of the former owner may have been wrong.
      const delayMs = Math.min(Math.max(0, probeAtMs - clock.wallTime()), maxProbeMs);
      this.#enter(worker, probes, delayMs, 'the former owner had the worker in quarantine');
    }
  }

  /** Starts probes that are due and forgets workers that left. */
  public tick(): void {
    const now = this.#context.clock.now();
    this.applyHosts();
    if (now - (this.#carriedAt ?? now) > maxCarriedMs) this.#carried.clear();
    for (const [id, isolation] of this.#isolations) {
      const worker = this.#fleet.find(id);
      if (worker === undefined) {
        this.#isolations.delete(id);
        this.#evidence.delete(id);
      } else if (!isolation.probing && now >= isolation.probeAt) {
        this.#isolations.set(id, { ...isolation, probing: true });
        worker.setProbing(true);
      }
    }
    for (const id of this.#evidence.keys()) {
      if (this.#fleet.find(id) === undefined) this.#evidence.delete(id);
    }
  }

  #judge(id: string): void {
    const worker = this.#fleet.find(id);
    if (worker === undefined || this.#isolations.has(id)) return;
    const evidence = this.#evidence.get(id) ?? [];
    const confirmed = evidence.filter(({ job }) => this.#history.succeededElsewhere(job, id));
    const open = evidence.filter(
      ({ job, kind }) =>
        !this.#history.succeededElsewhere(job, id) &&
        !this.#history.failedElsewhere(job, id) &&
        !this.#history.kindFailedElsewhere(kind, id),
    );
    const hasManyKinds = new Set(open.map(({ kind }) => kind)).size >= minKinds;
    const hasManyTeams = new Set(open.map(({ team }) => team)).size >= minTeams;
    const counted = confirmed.length + (hasManyKinds && hasManyTeams ? open.length : 0);
    const { failures } = this.#readPolicy().quarantine;
    if (counted < failures || !this.#mayIsolate()) return;
    this.#isolate(worker, 1, `${counted} distinct jobs failed here and nowhere else`);
  }

  #mayIsolate(): boolean {
    const { maxFraction } = this.#readPolicy().quarantine;
    return this.#isolations.size + 1 <= maxFraction * this.#fleet.workers.length;
  }

  #isolate(worker: WorkerRecord, probes: number, detail: string): void {
    const { firstProbeMs } = this.#readPolicy().quarantine;
    const delayMs = Math.min(firstProbeMs * 2 ** (probes - 1), maxProbeMs);
    this.#enter(worker, probes, delayMs, detail);
  }

  #enter(worker: WorkerRecord, probes: number, delayMs: number, detail: string): void {
    const { clock, recorder, shard, invariant } = this.#context;
    const isNew = !this.#isolations.has(worker.id);
    const probeAt = clock.now() + delayMs;
    const probeAtMs = Math.round(clock.wallTime() + delayMs);
    this.#isolations.set(worker.id, { probeAt, probeAtMs, probes, probing: false });
    this.#evidence.delete(worker.id);
    worker.setProbing(false);
    worker.setQuarantined(true);
    const text = `${detail}; next probe in ${Math.round(delayMs / 1000)} s`;
    recorder.record('workerQuarantined', { worker: worker.id, shard, detail: text });
    const { maxFraction } = this.#readPolicy().quarantine;
    invariant.check(
      !isNew || this.#isolations.size <= maxFraction * this.#fleet.workers.length,
      () => `${this.#isolations.size} workers are in quarantine`,
    );
  }

  #release(worker: WorkerRecord, detail: string): void {
    const { recorder, shard } = this.#context;
    this.#isolations.delete(worker.id);
    worker.setProbing(false);
    worker.setQuarantined(false);
    recorder.record('workerReleased', { worker: worker.id, shard, detail });
  }
}
