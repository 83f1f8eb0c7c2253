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
const bookMs = 1000;
const releaseSeconds = 5;
const lost = 's2';
const successor = 's1';

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

/** What a submitted request looks like. */
export interface TakeoverSubmission {
  readonly queue: 'batch' | 'once' | 'stay';
  readonly runTimeMs: number;
  readonly detached: boolean;
}

/** A request as its entry sees it. */
interface PendingRequest {
  readonly request: Request;
  readonly deadlineAt: number;
  heldEpoch: number | undefined;
  /** Whether the successor may have it, so that it must not be handed in at the other shard again. */
  isReassigned: boolean;
  isDone: boolean;
}

/**
 * Two data centres: the shard of one, dc2, is cut off, fails and comes back, and the other takes its work over.
 * Requests are handed in at an entry that outlives all faults.
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
    const world: SimulationContext = {
      clock: this.#clock,
      random: new CountingRandom(),
      store: this.#store,
      checker: this.checker,
      policy: new Policy(document),
    };
    this.#lostCentre = new ModelDataCentre(world, 'dc2', lost, [0.992, 1.008]);
    this.#successorCentre = new ModelDataCentre(world, 'dc1', successor, [1, 1]);
  }

  /** Takeovers so far. */
  public get takeovers(): number {
    return this.#takeovers;
  }

  /** Requests that were answered with an end by the successor. */
  public get answeredBySuccessor(): number {
    return this.#answeredBySuccessor;
  }

  /** Requests whose entry still waits for an answer. */
  public get open(): readonly string[] {
    return this.#requests.flatMap(({ request, isDone: isOver }) => (isOver ? [] : [request.id]));
  }

  public submit({ queue, runTimeMs, detached }: TakeoverSubmission): void {
    const id = `${lost}.r${this.#requests.length}`;
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
    const held: PendingRequest = {
      request,
      deadlineAt,
      heldEpoch: undefined,
      isReassigned: false,
      isDone: false,
    };
    this.#requests.push(held);
    this.#submitToOwner(held);
  }

  public cutOff(isCut: boolean): void {
    this.#lostCentre.store.isCutOff = isCut;
  }

  public killOwner(): void {
    this.#lostCentre.killOwner();
  }

  public toggleWorker(index: number): void {
    this.#lostCentre.toggleReachability(index);
  }

  /** Lets the answers of the next writes be lost, or the writes arrive late. */
  public failWrites(faults: FaultyStore['writeFaults']): void {
    this.#store.writeFaults = faults;
  }

  public applyLateWrites(): void {
    this.#store.applyLateWrites();
  }

  /** The data centre fails as a whole, and an operator declares it lost. */
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

  /** Lets time pass. */
  public async advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += tickMs) {
      await this.#clock.advance(tickMs);
      this.#ticks += 1;
      for (const centre of [this.#lostCentre, this.#successorCentre]) {
        centre.advanceWorkers();
        if (this.#ticks % (bookMs / tickMs) === 0) void this.#readTakeovers(centre);
        centre.tick(this.#takeoverIndexes.get(centre) ?? new TakeoverIndex());
      }
      if (this.#ticks % (bookMs / tickMs) === 0 && !this.#isRunning) void this.#runTakeovers();
      for (const held of this.#requests) if (!held.isDone) this.#pollAnswer(held);
    }
  }

  async #declare(state: 'lost' | 'returned'): Promise<void> {
    const editor = new TakeoverEditor(this.#successorCentre.parts);
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
    const book = await new TakeoverEditor(centre.parts).read();
    if (book.isOk()) this.#takeoverIndexes.set(centre, book.value);
  }

  /** Follows the claim of the other shard and takes its work over, like a scheduler of dc1. */
  async #runTakeovers(): Promise<void> {
    this.#isRunning = true;
    const { parts, shard } = this.#successorCentre;
    const book = this.#takeoverIndexes.get(this.#successorCentre);
    if (book !== undefined && shard !== undefined) {
      if (book.isPending('dc2', lost, this.#clock.wallTime())) {
        await this.#takeOver({ reason: 'declaration', dataCentre: 'dc2' });
      } else await this.#watchClaim(book, parts);
    }
    this.#isRunning = false;
  }

  async #watchClaim(book: TakeoverIndex, parts: ModelDataCentre['parts']): Promise<void> {
    const terms = new ReleaseTermsManager(parts, lost);
    const holder = await parts.store.read(`owners/${lost}`);
    if (holder.isErr()) return;
    if (holder.value.version !== 0) {
      this.#detector = new ReleaseDetector();
      return;
    }
    const claim = await parts.store.read(`claims/${lost}`);
    if (claim.isErr() || (await terms.read()).isErr()) return;
    const parsed = parseRecord(validators.Claim, claim.value.value ?? 'null');
    if (parsed.isErr()) return;
    const { epoch } = parsed.value;
    const formerEpoch = book.findFormerEpoch(lost, epoch) ?? epoch;
    const { published, version: termsVersion } = terms;
    const seen = { isClaimed: false, epoch: formerEpoch, termsVersion, published };
    const due = this.#detector.observe(seen, this.#clock.now());
    const taken = book.listTakenOverQueues(lost, formerEpoch);
    const queues = new Set([...due].filter((queue) => taken?.has(queue) === false));
    if (queues.size > 0)
      await this.#takeOver({ reason: 'time', queues, epoch, formerEpoch, termsVersion });
  }

  async #takeOver(reason: Parameters<ShardTakeover['run']>[0]): Promise<void> {
    const taken = await new ShardTakeover(this.#successorCentre.parts, lost).run(reason, [
      successor,
    ]);
    if (taken.isOk()) this.#takeovers += 1;
    await this.#readTakeovers(this.#successorCentre);
  }

  /** The entry: asks for the answer, and hands in again what the asked shard does not know. */
  #pollAnswer(held: PendingRequest): void {
    const { request } = held;
    const book = this.#takeoverIndexes.get(this.#successorCentre);
    const isTaken = held.isReassigned || book?.findSuccessor(request.id) !== undefined;
    const centre = isTaken ? this.#successorCentre : this.#lostCentre;
    // The entry answers "unknown" then.
    if (this.#clock.now() > held.deadlineAt) held.isDone = true;
    const { shard } = centre;
    if (centre.isDown || (centre === this.#lostCentre && centre.store.isCutOff)) {
      if (!isTaken && !request.detached) void this.#submitToSuccessor(held);
      return;
    }
    if (shard === undefined) return;
    shard.registerInterest(request.id);
    const view = shard.read(request.id);
    if (view.isOk()) {
      if (!shard.isCommitting(request.id)) this.#applyView(held, view.value, shard.epoch, centre);
    } else if (!isTaken) this.#submitToOwner(held);
  }

  #submitToOwner(held: PendingRequest): void {
    const { request, deadlineAt, heldEpoch } = held;
    const remainingMs = deadlineAt - this.#clock.now();
    const result = this.#lostCentre.submit(request, remainingMs, heldEpoch);
    const { shard } = this.#lostCentre;
    if (result === undefined || shard === undefined) return;
    if (result.isOk()) {
      held.heldEpoch = shard.epoch;
      return;
    }
    const isRefused = errorTable[result.error.kind].ran === 'no';
    if (heldEpoch !== undefined || !isRefused) return;
    held.isDone = true;
    this.checker.recordNotRun(request.id);
  }

  /** Hands an attached request to the successor, which adds it to the record first. */
  async #submitToSuccessor(held: PendingRequest): Promise<void> {
    const { request, deadlineAt, heldEpoch } = held;
    const { shard, parts } = this.#successorCentre;
    if (shard === undefined || held.isReassigned) return;
    held.isReassigned = true;
    const { id, queue, idempotent } = request;
    const remainingMs = deadlineAt - this.#clock.now();
    const taken = await new TakeoverEditor(parts).takeOverRequest(
      id,
      lost,
      queue,
      successor,
      remainingMs,
    );
    if (taken.isErr()) held.isReassigned = taken.error.kind !== 'notOwner';
    if (taken.isErr() || this.#successorCentre.shard !== shard) return;
    if (!idempotent) shard.addOutcomeUnknown(request);
    this.#successorCentre.submit(request, remainingMs, heldEpoch);
  }

  #applyView(
    held: PendingRequest,
    view: RequestView,
    epoch: number,
    centre: ModelDataCentre,
  ): void {
    held.heldEpoch = epoch;
    if (!isAnswered(view) || view.state === 'running') return;
    held.isDone = true;
    if (centre === this.#successorCentre && view.state === 'succeeded')
      this.#answeredBySuccessor += 1;
    if (view.ran === 'no') this.checker.recordNotRun(view.id);
  }
}
