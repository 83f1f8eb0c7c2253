import {
  validators,
  type DataCentreChange,
  type Failure,
  type StoreValue,
  type Takeover,
  type Takeovers,
} from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Clock } from './Clock.js';
import { countBytes } from './countBytes.js';
import { createFailure } from './createFailure.js';
import { createRecordDecoder } from './createRecordDecoder.js';
import { documentLimits } from './documentLimits.js';
import type { RandomSource } from './RandomSource.js';
import type { Store } from './Store.js';
import { TakeoverIndex } from './TakeoverIndex.js';

const recordKey = 'takeovers';
const maxAttempts = 6;
const retryMs = 50;

/** What the editor works with. */
interface EditorDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** A new content of the record, or undefined if the wanted change is in effect already. */
type Edit = Result<Omit<Takeovers, 'token'> | undefined, Failure>;

const decodeBook = (stored: Result<StoreValue, Failure>): Result<TakeoverIndex, Failure> =>
  stored.andThen((value) =>
    createRecordDecoder(validators.Takeovers)(value).map(
      (record) => new TakeoverIndex(record, value.version),
    ),
  );

/**
 * Gives what a lost shard was given, and did not take into its own journal, to other successors. What it took in
 * is among the requests of the new takeover. The part that moves becomes an entry of its own: a successor that
 * took its part of the former entry in must not look at it again, because it forgets what has ended.
 */
const reassignRequests = (
  each: Takeover,
  lost: Takeover,
  successors: readonly string[],
): readonly Takeover[] => {
  const isMoved = (id: string, successor: string): boolean =>
    successor === lost.shard && !Object.hasOwn(lost.requests, id);
  const entries = Object.entries(each.requests);
  const moved = entries.filter(([id, successor]) => isMoved(id, successor));
  if (each.inheritedBy.includes(lost.shard) || moved.length === 0) return [each];
  const kept = entries.filter(([id, successor]) => !isMoved(id, successor));
  const given = moved.map(
    ([id, successor], index) => [id, successors[index % successors.length] ?? successor] as const,
  );
  return [
    { ...each, requests: Object.fromEntries(kept) },
    { ...each, atMs: lost.atMs, requests: Object.fromEntries(given), inheritedBy: [] },
  ];
};

/**
 * Changes the record of takeovers by compare-and-swap. Every change may be repeated: what is in effect
 * already is not written again, which also settles a write whose answer was lost.
 */
export class TakeoverEditor {
  readonly #dependencies: EditorDependencies;

  /** @param parts - what the editor works with */
  public constructor(parts: EditorDependencies) {
    this.#dependencies = parts;
  }

  /**
   * Reads the record.
   *
   * @returns the record, or `storeUnavailable`
   */
  public async read(): Promise<Result<TakeoverIndex, Failure>> {
    return decodeBook(await this.#dependencies.store.read(recordKey));
  }

  /**
   * Waits for a change of the record.
   *
   * @param version - the known version
   * @param waitMs - longest wait in milliseconds
   * @returns the record, changed or not, or `storeUnavailable`
   */
  public async watch(version: number, waitMs: number): Promise<Result<TakeoverIndex, Failure>> {
    return decodeBook(await this.#dependencies.store.watch(recordKey, version, waitMs));
  }

  /**
   * Writes an operator's declaration about a data centre.
   *
   * @param dataCentre - name of the data centre
   * @param change - the declaration
   * @returns the record; `staleRevision` if there is a newer declaration than the operator knew
   */
  public declare(
    dataCentre: string,
    { state, author, note, ifGeneration }: DataCentreChange,
  ): Promise<Result<TakeoverIndex, Failure>> {
    return this.#edit((book) => {
      const former = book.findDeclaration(dataCentre);
      const generation = former?.generation ?? 0;
      const isInEffect = former?.author === author && former.state === state;
      if (generation === ifGeneration + 1 && isInEffect) return ok(undefined);
      if (generation !== ifGeneration) {
        const detail = `${former?.author ?? ''} declared ${dataCentre} ${former?.state ?? ''} meanwhile`;
        return err(createFailure('staleRevision', detail));
      }
      const declaration = {
        state,
        generation: generation + 1,
        author,
        atMs: this.#dependencies.clock.wallTime(),
        taken: [],
        ...(note === undefined ? {} : { note }),
      };
      return ok({
        ...book.record,
        declarations: { ...book.record.declarations, [dataCentre]: declaration },
      });
    });
  }

  /**
   * Adds what one claim of a lost shard took over.
   *
   * @param takeover - what was taken
   * @param successors - shards that get what the lost shard was itself given and has not taken in
   * @param dataCentre - data centre whose declaration it fulfils; undefined if there is none
   * @returns the record, or the failure
   */
  public addTakeover(
    takeover: Takeover,
    successors: readonly string[],
    dataCentre?: string,
  ): Promise<Result<TakeoverIndex, Failure>> {
    const { shard, epoch } = takeover;
    return this.#edit(({ record }) => {
      if (record.takeovers.some((each) => each.shard === shard && each.epoch === epoch)) {
        return ok(undefined);
      }
      const now = this.#dependencies.clock.wallTime();
      const current = record.takeovers.filter(({ untilMs }) => untilMs >= now);
      const isWhole = takeover.queues === undefined;
      const kept = isWhole
        ? current.flatMap((each) => reassignRequests(each, takeover, successors))
        : current;
      const declaration = dataCentre === undefined ? undefined : record.declarations[dataCentre];
      const declarations =
        dataCentre === undefined || declaration === undefined
          ? record.declarations
          : {
              ...record.declarations,
              [dataCentre]: { ...declaration, taken: [...declaration.taken, shard] },
            };
      return ok({ declarations, takeovers: [...kept, takeover] });
    });
  }

  /**
   * Takes an attached request over that an entry holds.
   *
   * @param requestId - identifier of the request
   * @param former - shard that held it
   * @param queue - its queue
   * @param successor - shard that takes it
   * @param deadlineMs - time until its deadline
   * @returns nothing; `notOwner` if another shard has it, or the former shard did not lose it or has an
   * owner again
   */
  public async takeOverRequest(
    requestId: string,
    former: string,
    queue: string,
    successor: string,
    deadlineMs: number,
  ): Promise<Result<void, Failure>> {
    const claim = await this.#readClaimEpoch(former);
    if (claim.isErr()) return err(claim.error);
    const edited = await this.#edit((book) => {
      const known = book.findSuccessor(requestId);
      if (known === successor) return ok(undefined);
      if (known !== undefined) return err(createFailure('notOwner', `taken over by ${known}`));
      const covering = book.findTakeover(former, queue, -1);
      if (covering === undefined) {
        return err(createFailure('notOwner', `the work of ${former} was not taken over`));
      }
      // An owner that is back may have got the request from its entry again.
      if (book.findFormerEpoch(former, claim.value) === undefined) {
        return err(createFailure('notOwner', `the shard ${former} has an owner again`));
      }
      const untilMs = Math.max(covering.untilMs, this.#dependencies.clock.wallTime() + deadlineMs);
      const requests = { ...covering.requests, [requestId]: successor };
      const replaced = { ...covering, untilMs, requests };
      const { declarations, takeovers } = book.record;
      return ok({ declarations, takeovers: takeovers.map((e) => (e === covering ? replaced : e)) });
    });
    return edited.map(() => undefined);
  }

  /**
   * Notes that a shard has what it was given in its own journal.
   *
   * @param takeover - the takeover
   * @param successor - the shard
   * @returns the record, or the failure
   */
  public markInherited(
    { shard, epoch, atMs }: Takeover,
    successor: string,
  ): Promise<Result<TakeoverIndex, Failure>> {
    return this.#edit(({ record }) => {
      const isWanted = (each: Takeover): boolean =>
        each.shard === shard &&
        each.epoch === epoch &&
        each.atMs === atMs &&
        !each.inheritedBy.includes(successor);
      if (!record.takeovers.some(isWanted)) return ok(undefined);
      const takeovers = record.takeovers.map((each) =>
        isWanted(each) ? { ...each, inheritedBy: [...each.inheritedBy, successor] } : each,
      );
      return ok({ ...record, takeovers });
    });
  }

  async #readClaimEpoch(shard: string): Promise<Result<number, Failure>> {
    const stored = await this.#dependencies.store.read(`claims/${shard}`);
    return stored.andThen(createRecordDecoder(validators.Claim)).map((claim) => claim?.epoch ?? 0);
  }

  async #edit(change: (book: TakeoverIndex) => Edit): Promise<Result<TakeoverIndex, Failure>> {
    const { store, clock, random } = this.#dependencies;
    // A write without an answer may still take effect, whatever fails after it.
    let last = createFailure('storeUnavailable', 'the store does not answer');
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if (attempt > 0) await clock.sleep(retryMs * attempt);
      const stored = await store.read(recordKey);
      if (stored.isErr()) {
        if (last.kind !== 'timeout') last = stored.error;
        continue;
      }
      const decoded = createRecordDecoder(validators.Takeovers)(stored.value);
      if (decoded.isErr()) return err(decoded.error);
      const book = new TakeoverIndex(decoded.value, stored.value.version);
      const edit = change(book);
      if (edit.isErr()) return err(edit.error);
      if (edit.value === undefined) return ok(book);
      const next: Takeovers = { ...edit.value, token: random.token() };
      const text = JSON.stringify(next);
      if (countBytes(text) > documentLimits.maxEncodedBytes) {
        const detail = `the record of takeovers is full at ${documentLimits.maxEncodedBytes} bytes`;
        return err(createFailure('bodyTooLarge', detail));
      }
      const written = await store.write(recordKey, text, stored.value.version);
      if (written.isOk()) return ok(new TakeoverIndex(next, written.value));
      if (last.kind !== 'timeout') last = written.error;
    }
    return err(last);
  }
}
