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
/** Maximum number of compare-and-swap attempts for one change. */
const maxAttempts = 6;
/** Delay before the first repeated attempt; grows linearly with the attempts. */
const retryDelayMs = 50;

/** Services that the editor uses. */
interface EditorDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** New content of the record; undefined if the change is already in effect. */
type Edit = Result<Omit<Takeovers, 'token'> | undefined, Failure>;

const decodeIndex = (stored: Result<StoreValue, Failure>): Result<TakeoverIndex, Failure> =>
  stored.andThen((value) =>
    createRecordDecoder(validators.Takeovers)(value).map(
      (record) => new TakeoverIndex(record, value.version),
    ),
  );

/**
 * Reassigns requests that were assigned to a shard which is now lost itself, unless it has them in its own journal;
 * those are among the requests of the new takeover. The reassigned requests form a separate takeover: a successor
 * that has already journaled its requests of the old one must not process them again, since it may have removed
 * finished ones.
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
  const reassigned = moved.map(
    ([id, successor], index) => [id, successors[index % successors.length] ?? successor] as const,
  );
  return [
    { ...each, requests: Object.fromEntries(kept) },
    { ...each, atMs: lost.atMs, requests: Object.fromEntries(reassigned), inheritedBy: [] },
  ];
};

/**
 * Changes the record of takeovers with compare-and-swap. Changes are idempotent: one that is already in effect is
 * not written again, which also covers a write whose answer was lost.
 */
export class TakeoverEditor {
  readonly #dependencies: EditorDependencies;

  /** @param dependencies - services to use */
  public constructor(dependencies: EditorDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Reads the record.
   *
   * @returns the record; `storeUnavailable` if the read failed; `internal` if the record is invalid
   */
  public async read(): Promise<Result<TakeoverIndex, Failure>> {
    return decodeIndex(await this.#dependencies.store.read(recordKey));
  }

  /**
   * Waits for a change of the record.
   *
   * @param version - version that the caller knows
   * @param waitMs - longest wait in milliseconds
   * @returns the record, changed or not; `storeUnavailable` if the call failed; `internal` if the record is invalid
   */
  public async watch(version: number, waitMs: number): Promise<Result<TakeoverIndex, Failure>> {
    return decodeIndex(await this.#dependencies.store.watch(recordKey, version, waitMs));
  }

  /**
   * Writes an operator's declaration about a data centre.
   *
   * @param dataCentre - name of the data centre
   * @param change - the declaration
   * @returns the new record; `staleRevision` if another declaration was made since the generation that the operator
   * knew; other failures as of the store
   */
  public declare(
    dataCentre: string,
    { state, author, note, ifGeneration }: DataCentreChange,
  ): Promise<Result<TakeoverIndex, Failure>> {
    return this.#edit((takeoverIndex) => {
      const previous = takeoverIndex.findDeclaration(dataCentre);
      const generation = previous?.generation ?? 0;
      const isInEffect = previous?.author === author && previous.state === state;
      if (generation === ifGeneration + 1 && isInEffect) return ok(undefined);
      if (generation !== ifGeneration) {
        const detail = `${previous?.author ?? ''} has declared ${dataCentre} ${previous?.state ?? ''} since then`;
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
        ...takeoverIndex.record,
        declarations: { ...takeoverIndex.record.declarations, [dataCentre]: declaration },
      });
    });
  }

  /**
   * Adds a takeover of a lost shard.
   *
   * @param takeover - takeover to add
   * @param successors - shards that get requests which were assigned to the lost shard and are not in its journal
   * @param dataCentre - data centre whose declaration the takeover carries out; undefined if there is none
   * @returns the new record, or the failure
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
   * Assigns an attached request, which its entry still has, to a successor.
   *
   * @param requestId - identifier of the request
   * @param previousShard - shard that had the request
   * @param queue - queue of the request
   * @param successor - shard that takes over the request
   * @param deadlineMs - milliseconds until the deadline of the request
   * @returns nothing; `notOwner` if another shard has the request, or its previous shard was not taken over or has
   * an owner again; or the failure of the store
   */
  public async takeOverRequest(
    requestId: string,
    previousShard: string,
    queue: string,
    successor: string,
    deadlineMs: number,
  ): Promise<Result<void, Failure>> {
    const claim = await this.#readClaimEpoch(previousShard);
    if (claim.isErr()) return err(claim.error);
    const edited = await this.#edit((takeoverIndex) => {
      const known = takeoverIndex.findSuccessor(requestId);
      if (known === successor) return ok(undefined);
      if (known !== undefined) return err(createFailure('notOwner', `taken over by ${known}`));
      const covering = takeoverIndex.findTakeover(previousShard, queue, -1);
      if (covering === undefined) {
        return err(createFailure('notOwner', `the work of ${previousShard} was not taken over`));
      }
      // The entry may have submitted the request again to an owner that has returned.
      if (takeoverIndex.findFormerEpoch(previousShard, claim.value) === undefined) {
        return err(createFailure('notOwner', `the shard ${previousShard} has an owner again`));
      }
      const untilMs = Math.max(covering.untilMs, this.#dependencies.clock.wallTime() + deadlineMs);
      const requests = { ...covering.requests, [requestId]: successor };
      const replaced = { ...covering, untilMs, requests };
      const { declarations, takeovers } = takeoverIndex.record;
      return ok({ declarations, takeovers: takeovers.map((e) => (e === covering ? replaced : e)) });
    });
    return edited.map(() => undefined);
  }

  /**
   * Records that a successor has all requests of a takeover that were assigned to it in its own journal.
   *
   * @param takeover - the takeover
   * @param successor - name of the successor
   * @returns the new record, or the failure
   */
  public markInherited(
    { shard, epoch, atMs }: Takeover,
    successor: string,
  ): Promise<Result<TakeoverIndex, Failure>> {
    return this.#edit(({ record }) => {
      const isMatching = (each: Takeover): boolean =>
        each.shard === shard &&
        each.epoch === epoch &&
        each.atMs === atMs &&
        !each.inheritedBy.includes(successor);
      if (!record.takeovers.some(isMatching)) return ok(undefined);
      const takeovers = record.takeovers.map((each) =>
        isMatching(each) ? { ...each, inheritedBy: [...each.inheritedBy, successor] } : each,
      );
      return ok({ ...record, takeovers });
    });
  }

  async #readClaimEpoch(shard: string): Promise<Result<number, Failure>> {
    const stored = await this.#dependencies.store.read(`claims/${shard}`);
    return stored.andThen(createRecordDecoder(validators.Claim)).map((claim) => claim?.epoch ?? 0);
  }

  async #edit(
    change: (takeoverIndex: TakeoverIndex) => Edit,
  ): Promise<Result<TakeoverIndex, Failure>> {
    const { store, clock, random } = this.#dependencies;
    // A write that timed out may still take effect, so `timeout` takes precedence over later failures.
    let lastFailure = createFailure('storeUnavailable', 'the store does not answer');
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if (attempt > 0) await clock.sleep(retryDelayMs * attempt);
      const stored = await store.read(recordKey);
      if (stored.isErr()) {
        if (lastFailure.kind !== 'timeout') lastFailure = stored.error;
        continue;
      }
      const decoded = createRecordDecoder(validators.Takeovers)(stored.value);
      if (decoded.isErr()) return err(decoded.error);
      const takeoverIndex = new TakeoverIndex(decoded.value, stored.value.version);
      const edit = change(takeoverIndex);
      if (edit.isErr()) return err(edit.error);
      if (edit.value === undefined) return ok(takeoverIndex);
      const next: Takeovers = { ...edit.value, token: random.token() };
      const text = JSON.stringify(next);
      if (countBytes(text) > documentLimits.maxEncodedBytes) {
        const detail = `the record of takeovers is full at ${documentLimits.maxEncodedBytes} bytes`;
        return err(createFailure('bodyTooLarge', detail));
      }
      const written = await store.write(recordKey, text, stored.value.version);
      if (written.isOk()) return ok(new TakeoverIndex(next, written.value));
      if (lastFailure.kind !== 'timeout') lastFailure = written.error;
    }
    return err(lastFailure);
  }
}
