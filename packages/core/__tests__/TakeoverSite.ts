import { validators, type Document, type Request, type RequestView } from '@toucanline/schema';
import {
  CutOffWatch,
  errorTable,
  isAnswered,
  parseRecord,
  Policy,
  ReleaseTermsKeeper,
  ShardTakeover,
  TakeoverBook,
  TakeoverEditor,
} from '../src/index.js';
import { AgendaClock } from './AgendaClock.js';
import { CountingRandom } from './CountingRandom.js';
import { ModelCentre, type ModelWorld } from './ModelCentre.js';
import { ModelLedger } from './ModelLedger.js';
import { StoreModel } from './StoreModel.js';

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
interface Held {
  readonly request: Request;
  readonly deadlineAt: number;
  heldEpoch: number | undefined;
  /** Whether the successor may have it, so that it must not be handed in at the other shard again. */
  isPassedOn: boolean;
  isOver: boolean;
}

/**
 * Two data centres: the shard of one, dc2, is cut off, fails and comes back, and the other takes its work over.
 * Requests are handed in at an entry that outlives all faults.
 */
export class TakeoverSite {
  public readonly ledger = new ModelLedger();
  readonly #clock = new AgendaClock();
  readonly #store = new StoreModel(this.#clock);
  readonly #lost: ModelCentre;
  readonly #other: ModelCentre;
  readonly #held: Held[] = [];
  readonly #books = new Map<ModelCentre, TakeoverBook>();
  #watch = new CutOffWatch();
  #isRunning = false;
  #ticks = 0;
  #generation = 0;
  #takeovers = 0;
  #passed = 0;

  public constructor() {
    const world: ModelWorld = {
      clock: this.#clock,
      random: new CountingRandom(),
      store: this.#store,
      ledger: this.ledger,
      policy: new Policy(document),
    };
    this.#lost = new ModelCentre(world, 'dc2', lost, [0.992, 1.008]);
    this.#other = new ModelCentre(world, 'dc1', successor, [1, 1]);
  }

  /** Takeovers so far. */
  public get takeovers(): number {
    return this.#takeovers;
  }

  /** Requests that were answered with an end by the successor. */
  public get passed(): number {
    return this.#passed;
  }

  /** Requests whose entry still waits for an answer. */
  public get open(): readonly string[] {
    return this.#held.flatMap(({ request, isOver }) => (isOver ? [] : [request.id]));
  }

  public submit({ queue, runTimeMs, detached }: TakeoverSubmission): void {
    const id = `${lost}.r${this.#held.length}`;
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
    const held: Held = {
      request,
      deadlineAt,
      heldEpoch: undefined,
      isPassedOn: false,
      isOver: false,
    };
    this.#held.push(held);
    this.#handIn(held);
  }

  public cutOff(isCut: boolean): void {
    this.#lost.store.isCut = isCut;
  }

  public killOwner(): void {
    this.#lost.killOwner();
  }

  public toggleWorker(index: number): void {
    this.#lost.toggleWorker(index);
  }

  /** Lets the answers of the next writes be lost, or the writes arrive late. */
  public failWrites(faults: StoreModel['writeFaults']): void {
    this.#store.writeFaults = faults;
  }

  public deliverLate(): void {
    this.#store.deliverLate();
  }

  /** The data centre fails as a whole, and an operator declares it lost. */
  public async lose(): Promise<void> {
    if (this.#lost.isDown) return;
    this.#lost.setDown(true);
    await this.#declare('lost');
  }

  public async comeBack(): Promise<void> {
    if (!this.#lost.isDown) return;
    await this.#declare('returned');
    this.#lost.setDown(false);
  }

  public async heal(): Promise<void> {
    await this.comeBack();
    this.#lost.heal();
    this.#store.writeFaults = [];
  }

  /** Lets time pass. */
  public async advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += tickMs) {
      await this.#clock.advance(tickMs);
      this.#ticks += 1;
      for (const centre of [this.#lost, this.#other]) {
        centre.advanceWorkers();
        if (this.#ticks % (bookMs / tickMs) === 0) void this.#readBook(centre);
        centre.tick(this.#books.get(centre) ?? new TakeoverBook());
      }
      if (this.#ticks % (bookMs / tickMs) === 0 && !this.#isRunning) void this.#runTakeovers();
      for (const held of this.#held) if (!held.isOver) this.#follow(held);
    }
  }

  async #declare(state: 'lost' | 'returned'): Promise<void> {
    const editor = new TakeoverEditor(this.#other.parts);
    const declared = editor.declare('dc2', {
      state,
      author: 'ann',
      ifGeneration: this.#generation,
    });
    await this.#clock.advance(0);
    for (let round = 0; round < 10; round += 1) await this.#clock.advance(100);
    if ((await declared).isOk()) this.#generation += 1;
  }

  async #readBook(centre: ModelCentre): Promise<void> {
    if (centre.isDown) return;
    const book = await new TakeoverEditor(centre.parts).read();
    if (book.isOk()) this.#books.set(centre, book.value);
  }

  /** Follows the claim of the other shard and takes its work over, like a scheduler of dc1. */
  async #runTakeovers(): Promise<void> {
    this.#isRunning = true;
    const { parts, shard } = this.#other;
    const book = this.#books.get(this.#other);
    if (book !== undefined && shard !== undefined) {
      if (book.isPending('dc2', lost, this.#clock.wallTime())) {
        await this.#take({ reason: 'declaration', dataCentre: 'dc2' });
      } else await this.#watchClaim(book, parts);
    }
    this.#isRunning = false;
  }

  async #watchClaim(book: TakeoverBook, parts: ModelCentre['parts']): Promise<void> {
    const terms = new ReleaseTermsKeeper(parts, lost);
    const holder = await parts.store.read(`owners/${lost}`);
    if (holder.isErr()) return;
    if (holder.value.version !== 0) {
      this.#watch = new CutOffWatch();
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
    const due = this.#watch.observe(seen, this.#clock.now());
    const taken = book.listTakenQueues(lost, formerEpoch);
    const queues = new Set([...due].filter((queue) => taken?.has(queue) === false));
    if (queues.size > 0)
      await this.#take({ reason: 'time', queues, epoch, formerEpoch, termsVersion });
  }

  async #take(reason: Parameters<ShardTakeover['run']>[0]): Promise<void> {
    const taken = await new ShardTakeover(this.#other.parts, lost).run(reason, [successor]);
    if (taken.isOk()) this.#takeovers += 1;
    await this.#readBook(this.#other);
  }

  /** The entry: asks for the answer, and hands in again what the asked shard does not know. */
  #follow(held: Held): void {
    const { request } = held;
    const book = this.#books.get(this.#other);
    const isTaken = held.isPassedOn || book?.findSuccessor(request.id) !== undefined;
    const centre = isTaken ? this.#other : this.#lost;
    // The entry answers "unknown" then.
    if (this.#clock.now() > held.deadlineAt) held.isOver = true;
    const { shard } = centre;
    if (centre.isDown || (centre === this.#lost && centre.store.isCut)) {
      if (!isTaken && !request.detached) void this.#passOn(held);
      return;
    }
    if (shard === undefined) return;
    shard.noteWanted(request.id);
    const view = shard.read(request.id);
    if (view.isOk()) {
      if (!shard.isCommitting(request.id)) this.#observe(held, view.value, shard.epoch, centre);
    } else if (!isTaken) this.#handIn(held);
  }

  #handIn(held: Held): void {
    const { request, deadlineAt, heldEpoch } = held;
    const remainingMs = deadlineAt - this.#clock.now();
    const result = this.#lost.submit(request, remainingMs, heldEpoch);
    const { shard } = this.#lost;
    if (result === undefined || shard === undefined) return;
    if (result.isOk()) {
      held.heldEpoch = shard.epoch;
      return;
    }
    const isRefused = errorTable[result.error.kind].ran === 'no';
    if (heldEpoch !== undefined || !isRefused) return;
    held.isOver = true;
    this.ledger.noteNotRun(request.id);
  }

  /** Hands an attached request to the successor, which adds it to the record first. */
  async #passOn(held: Held): Promise<void> {
    const { request, deadlineAt, heldEpoch } = held;
    const { shard, parts } = this.#other;
    if (shard === undefined || held.isPassedOn) return;
    held.isPassedOn = true;
    const { id, queue, idempotent } = request;
    const remainingMs = deadlineAt - this.#clock.now();
    const taken = await new TakeoverEditor(parts).take(id, lost, queue, successor, remainingMs);
    if (taken.isErr()) held.isPassedOn = taken.error.kind !== 'notOwner';
    if (taken.isErr() || this.#other.shard !== shard) return;
    if (!idempotent) shard.addUnknown(request);
    this.#other.submit(request, remainingMs, heldEpoch);
  }

  #observe(held: Held, view: RequestView, epoch: number, centre: ModelCentre): void {
    held.heldEpoch = epoch;
    if (!isAnswered(view) || view.state === 'running') return;
    held.isOver = true;
    if (centre === this.#other && view.state === 'succeeded') this.#passed += 1;
    if (view.ran === 'no') this.ledger.noteNotRun(view.id);
  }
}
