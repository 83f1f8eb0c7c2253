import { validators, type Document, type Request, type RequestView } from '@toucanline/schema';
import {
  ReleaseDetector,
  errorTable,
  isAnswered,
  parseRecord,
  Policy,
  ReleaseTermsManager,
  ShardTakeover,
  TakeoverIndex,
  TakeoverEditor,
} from '../src/index.js';
import { TimerClock } from './TimerClock.js';
import { CountingRandom } from './CountingRandom.js';
import { ModelDataCentre, type SimulationContext } from './ModelDataCentre.js';
import { ExecutionChecker } from './ExecutionChecker.js';
import { FaultyStore } from './FaultyStore.js';

const tickMs = 250;
/** Interval at which a data centre reads the record of takeovers. */
const recordReadIntervalMs = 1000;
const releaseSeconds = 5;
const lostShard = 's2';
const successorShard = 's1';

const document: Document = {
  schema: 1,
  shards: { s1: { dataCentre: 'dc1' }, s2: { dataCentre: 'dc2' } },
  teams: { planning: { share: 1 } },
  queues: {
    batch: {
      kind: 'batch',
      idempotent: true,
      whenCutOff: 'release',
      releaseAfterSeconds: releaseSeconds,
    },
    once: {
      kind: 'batch',
      idempotent: false,
      whenCutOff: 'release',
      releaseAfterSeconds: releaseSeconds,
    },
    stay: { kind: 'batch', idempotent: true },
  },
};

/** Properties of a request to submit. */
export interface TakeoverSubmission {
  readonly queue: 'batch' | 'once' | 'stay';
  readonly runTimeMs: number;
  readonly detached: boolean;
}

/** A request as known to its entry. */
interface PendingRequest {
  readonly request: Request;
  readonly deadlineAt: number;
  heldEpoch: number | undefined;
  /** Whether the successor may have it, so that it must not be submitted to the lost shard again. */
  isReassigned: boolean;
  /** Whether the entry has its answer. */
  isDone: boolean;
}

/**
 * Simulates two data centres. One of them, dc2, is cut off, fails and returns, and the other takes over its work.
 * Requests are submitted by an entry that survives all faults.
 */
export class TakeoverSimulation {
  public readonly checker = new ExecutionChecker();
  readonly #clock = new TimerClock();
  readonly #store = new FaultyStore(this.#clock);
  readonly #lostCentre: ModelDataCentre;
  readonly #successorCentre: ModelDataCentre;
  readonly #requests: PendingRequest[] = [];
  readonly #takeoverIndexes = new Map<ModelDataCentre, TakeoverIndex>();
  #detector = new ReleaseDetector();
  #isRunning = false;
  #ticks = 0;
  #generation = 0;
  #takeovers = 0;
  #answeredBySuccessor = 0;

  public constructor() {
    const context: SimulationContext = {
      clock: this.#clock,
      random: new CountingRandom(),
      store: this.#store,
      checker: this.checker,
      policy: new Policy(document),
    };
    this.#lostCentre = new ModelDataCentre(context, 'dc2', lostShard, [0.992, 1.008]);
    this.#successorCentre = new ModelDataCentre(context, 'dc1', successorShard, [1, 1]);
  }

  /** Number of takeovers so far. */
  public get takeovers(): number {
    return this.#takeovers;
  }

  /** Number of requests that succeeded in the successor. */
  public get answeredBySuccessor(): number {
    return this.#answeredBySuccessor;
  }

  /** Identifiers of requests without an answer. */
  public get open(): readonly string[] {
    return this.#requests.flatMap(({ request, isDone }) => (isDone ? [] : [request.id]));
  }

  public submit({ queue, runTimeMs, detached }: TakeoverSubmission): void {
    const id = `${lostShard}.r${this.#requests.length}`;
    const request: Request = {
      id,
      digest: id,
      team: 'planning',
      queue,
      kind: 'batch',
      idempotent: queue !== 'once',
      urgent: false,
      checkpointable: false,
      detached,
      tasks: 1,
      size: { processors: 2, memoryMb: 64, accelerators: 0 },
      command: `${runTimeMs} ok`,
      runTimeMs,
    };
    const deadlineAt = this.#clock.now() + 300_000;
    const pending: PendingRequest = {
      request,
      deadlineAt,
      heldEpoch: undefined,
      isReassigned: false,
      isDone: false,
    };
    this.#requests.push(pending);
    this.#submitToOwner(pending);
  }

  public cutOff(isCutOff: boolean): void {
    this.#lostCentre.store.isCutOff = isCutOff;
  }

  public killOwner(): void {
    this.#lostCentre.killOwner();
  }

  public toggleWorker(index: number): void {
    this.#lostCentre.toggleReachability(index);
  }

  /** Sets the faults of the next writes. */
  public failWrites(faults: FaultyStore['writeFaults']): void {
    this.#store.writeFaults = faults;
  }

  public applyLateWrites(): void {
    this.#store.applyLateWrites();
  }

  /** Stops the whole data centre and declares it lost. */
  public async failAndDeclareLost(): Promise<void> {
    if (this.#lostCentre.isDown) return;
    this.#lostCentre.setDown(true);
    await this.#declare('lost');
  }

  public async declareReturned(): Promise<void> {
    if (!this.#lostCentre.isDown) return;
    await this.#declare('returned');
    this.#lostCentre.setDown(false);
  }

  public async heal(): Promise<void> {
    await this.declareReturned();
    this.#lostCentre.heal();
    this.#store.writeFaults = [];
  }

  /** Advances the time of the whole simulation. */
  public async advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += tickMs) {
      await this.#clock.advance(tickMs);
      this.#ticks += 1;
      for (const centre of [this.#lostCentre, this.#successorCentre]) {
        centre.advanceWorkers();
        if (this.#ticks % (recordReadIntervalMs / tickMs) === 0) void this.#readTakeovers(centre);
        centre.tick(this.#takeoverIndexes.get(centre) ?? new TakeoverIndex());
      }
      if (this.#ticks % (recordReadIntervalMs / tickMs) === 0 && !this.#isRunning)
        void this.#runTakeovers();
      for (const pending of this.#requests) if (!pending.isDone) this.#pollAnswer(pending);
    }
  }

  async #declare(state: 'lost' | 'returned'): Promise<void> {
    const editor = new TakeoverEditor(this.#successorCentre.dependencies);
    const declared = editor.declare('dc2', {
      state,
      author: 'ann',
      ifGeneration: this.#generation,
    });
    await this.#clock.advance(0);
    for (let round = 0; round < 10; round += 1) await this.#clock.advance(100);
    if ((await declared).isOk()) this.#generation += 1;
  }

  async #readTakeovers(centre: ModelDataCentre): Promise<void> {
    if (centre.isDown) return;
    const takeovers = await new TakeoverEditor(centre.dependencies).read();
    if (takeovers.isOk()) this.#takeoverIndexes.set(centre, takeovers.value);
  }

  /** Watches the claim of the lost shard and takes over its work, as a scheduler of dc1 does. */
  async #runTakeovers(): Promise<void> {
    this.#isRunning = true;
    const { dependencies, shard } = this.#successorCentre;
    const takeovers = this.#takeoverIndexes.get(this.#successorCentre);
    if (takeovers !== undefined && shard !== undefined) {
      if (takeovers.isPending('dc2', lostShard, this.#clock.wallTime())) {
        await this.#takeOver({ reason: 'declaration', dataCentre: 'dc2' });
      } else await this.#watchClaim(takeovers, dependencies);
    }
    this.#isRunning = false;
  }

  async #watchClaim(
    takeovers: TakeoverIndex,
    dependencies: ModelDataCentre['dependencies'],
  ): Promise<void> {
    const terms = new ReleaseTermsManager(dependencies, lostShard);
    const holder = await dependencies.store.read(`owners/${lostShard}`);
    if (holder.isErr()) return;
    if (holder.value.version !== 0) {
      this.#detector = new ReleaseDetector();
      return;
    }
    const claim = await dependencies.store.read(`claims/${lostShard}`);
    if (claim.isErr() || (await terms.read()).isErr()) return;
    const parsed = parseRecord(validators.Claim, claim.value.value ?? 'null');
    if (parsed.isErr()) return;
    const { epoch } = parsed.value;
    const formerEpoch = takeovers.findFormerEpoch(lostShard, epoch) ?? epoch;
    const { published, version: termsVersion } = terms;
    const observation = { isClaimed: false, epoch: formerEpoch, termsVersion, published };
    const due = this.#detector.observe(observation, this.#clock.now());
    const takenOver = takeovers.listTakenOverQueues(lostShard, formerEpoch);
    const queues = new Set([...due].filter((queue) => takenOver?.has(queue) === false));
    if (queues.size > 0)
      await this.#takeOver({ reason: 'time', queues, epoch, formerEpoch, termsVersion });
  }

  async #takeOver(reason: Parameters<ShardTakeover['run']>[0]): Promise<void> {
    const takenOver = await new ShardTakeover(this.#successorCentre.dependencies, lostShard).run(
      reason,
      [successorShard],
    );
    if (takenOver.isOk()) this.#takeovers += 1;
    await this.#readTakeovers(this.#successorCentre);
  }

  /** Polls the answer of a request, and submits it again if the shard does not have it, as an entry does. */
  #pollAnswer(pending: PendingRequest): void {
    const { request } = pending;
    const takeovers = this.#takeoverIndexes.get(this.#successorCentre);
    const isTakenOver = pending.isReassigned || takeovers?.findSuccessor(request.id) !== undefined;
    const centre = isTakenOver ? this.#successorCentre : this.#lostCentre;
    // After the deadline the entry answers "unknown".
    if (this.#clock.now() > pending.deadlineAt) pending.isDone = true;
    const { shard } = centre;
    if (centre.isDown || (centre === this.#lostCentre && centre.store.isCutOff)) {
      if (!isTakenOver && !request.detached) void this.#submitToSuccessor(pending);
      return;
    }
    if (shard === undefined) return;
    shard.registerInterest(request.id);
    const view = shard.read(request.id);
    if (view.isOk()) {
      if (!shard.isCommitting(request.id))
        this.#applyView(pending, view.value, shard.epoch, centre);
    } else if (!isTakenOver) this.#submitToOwner(pending);
  }

  #submitToOwner(pending: PendingRequest): void {
    const { request, deadlineAt, heldEpoch } = pending;
    const remainingMs = deadlineAt - this.#clock.now();
    const result = this.#lostCentre.submit(request, remainingMs, heldEpoch);
    const { shard } = this.#lostCentre;
    if (result === undefined || shard === undefined) return;
    if (result.isOk()) {
      pending.heldEpoch = shard.epoch;
      return;
    }
    const isRefused = errorTable[result.error.kind].ran === 'no';
    if (heldEpoch !== undefined || !isRefused) return;
    pending.isDone = true;
    this.checker.recordNotRun(request.id);
  }

  /** Submits an attached request to the successor, which adds it to the record of takeovers first. */
  async #submitToSuccessor(pending: PendingRequest): Promise<void> {
    const { request, deadlineAt, heldEpoch } = pending;
    const { shard, dependencies } = this.#successorCentre;
    if (shard === undefined || pending.isReassigned) return;
    pending.isReassigned = true;
    const { id, queue, idempotent } = request;
    const remainingMs = deadlineAt - this.#clock.now();
    const takenOver = await new TakeoverEditor(dependencies).takeOverRequest(
      id,
      lostShard,
      queue,
      successorShard,
      remainingMs,
    );
    if (takenOver.isErr()) pending.isReassigned = takenOver.error.kind !== 'notOwner';
    if (takenOver.isErr() || this.#successorCentre.shard !== shard) return;
    if (!idempotent) shard.addOutcomeUnknown(request);
    this.#successorCentre.submit(request, remainingMs, heldEpoch);
  }

  #applyView(
    pending: PendingRequest,
    view: RequestView,
    epoch: number,
    centre: ModelDataCentre,
  ): void {
    pending.heldEpoch = epoch;
    if (!isAnswered(view) || view.state === 'running') return;
    pending.isDone = true;
    if (centre === this.#successorCentre && view.state === 'succeeded')
      this.#answeredBySuccessor += 1;
    if (view.ran === 'no') this.checker.recordNotRun(view.id);
  }
}
