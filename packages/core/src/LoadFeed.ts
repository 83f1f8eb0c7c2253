import type {
  LoadNotice,
  Resources,
  ShardLoad,
  ShardNotice,
  TakeoversTold,
} from '@toucanline/schema';
import { toAmount } from './toAmount.js';

/** Amounts per team. */
type TeamAmounts = Readonly<Record<string, Resources>>;

/** State that an owner of shards reports to its peers. */
interface LoadState {
  readonly shards: readonly ShardLoad[];
  readonly configurationRevision: number;
  readonly keysRevision: number;
  /** Version of the record of takeovers in the store, and whether the sender watches it. */
  readonly takeovers: TakeoversTold;
}

const emptyState: LoadState = {
  shards: [],
  configurationRevision: 0,
  keysRevision: 0,
  takeovers: { version: 0, watched: false },
};

const isSame = (left: Resources, right: Resources): boolean =>
  left.processors === right.processors &&
  left.memoryMb === right.memoryMb &&
  left.accelerators === right.accelerators;

const zero = [0, 0, 0] as const;

const describeAmounts = (amounts: TeamAmounts): NonNullable<ShardNotice['use']> =>
  Object.fromEntries(Object.entries(amounts).map(([team, amount]) => [team, toAmount(amount)]));

/** Lists the amounts that changed; a team that is gone is listed with zero. */
const compareAmounts = (
  before: TeamAmounts,
  after: TeamAmounts,
): NonNullable<ShardNotice['use']> => {
  const changes: Record<string, ReturnType<typeof toAmount>> = {};
  for (const [team, amount] of Object.entries(after)) {
    const known = before[team];
    if (known === undefined || !isSame(known, amount)) changes[team] = toAmount(amount);
  }
  for (const team of Object.keys(before)) {
    if (after[team] === undefined) changes[team] = [...zero];
  }
  return changes;
};

/** Decides which load changes are sent to one group of peers, and when: only changes, at a limited rate. */
export class LoadFeed {
  readonly #periodMs: number;
  readonly #includesTeams: boolean;
  #lastSent: LoadState | undefined;
  #lastSentAt = -Infinity;

  /**
   * @param periodMs - shortest time between notices of changed load, in milliseconds; changes of ownership and
   * revisions are sent at once
   * @param includesTeams - whether notices include the amounts per team
   */
  public constructor(periodMs: number, includesTeams: boolean) {
    this.#periodMs = periodMs;
    this.#includesTeams = includesTeams;
  }

  /**
   * Compares the current state with the one last sent and, if a notice is due, makes it the last one sent.
   *
   * @param now - monotonic time in milliseconds
   * @param state - current state
   * @returns the notice for peers that received all earlier ones; undefined if none is due
   */
  public createChangeNotice(now: number, state: LoadState): LoadNotice | undefined {
    const before = this.#lastSent;
    const isDue = now - this.#lastSentAt >= this.#periodMs || this.#isUrgent(state);
    if (!isDue) return undefined;
    const shards = state.shards.flatMap((load) => this.#describeChange(load) ?? []);
    const ended = this.#listEnded(state);
    const hasRevisions = this.#hasNewRevisions(state);
    this.#lastSent = state;
    if (before === undefined) return undefined;
    if (shards.length === 0 && ended.length === 0 && !hasRevisions) return undefined;
    this.#lastSentAt = now;
    const { configurationRevision, keysRevision, takeovers } = state;
    return {
      notice: 'load',
      shards,
      ...(ended.length === 0 ? {} : { ended }),
      ...(hasRevisions ? { configurationRevision, keysRevision, takeovers } : {}),
    };
  }

  /**
   * Creates a notice of the whole last sent state, for a peer that has received none.
   *
   * @returns the notice
   */
  public createFullNotice(): LoadNotice {
    const { shards, ...revisions } = this.#lastSent ?? emptyState;
    const described = shards.map((load) => this.#describe(load));
    return { notice: 'load', whole: true, shards: described, ...revisions };
  }

  #isUrgent(state: LoadState): boolean {
    const known = this.#lastSent;
    if (known === undefined || this.#hasNewRevisions(state)) return true;
    if (known.shards.length !== state.shards.length) return true;
    return state.shards.some((load) => this.#findLastSent(load) === undefined);
  }

  #hasNewRevisions(state: LoadState): boolean {
    return (
      this.#lastSent?.configurationRevision !== state.configurationRevision ||
      this.#lastSent.keysRevision !== state.keysRevision ||
      this.#lastSent.takeovers.version !== state.takeovers.version ||
      this.#lastSent.takeovers.watched !== state.takeovers.watched
    );
  }

  #findLastSent({ shard, epoch }: ShardLoad): ShardLoad | undefined {
    return this.#lastSent?.shards.find((load) => load.shard === shard && load.epoch === epoch);
  }

  #listEnded(state: LoadState): string[] {
    const names = new Set(state.shards.map(({ shard }) => shard));
    return (this.#lastSent?.shards ?? []).flatMap(({ shard }) => (names.has(shard) ? [] : [shard]));
  }

  #describe(load: ShardLoad): ShardNotice {
    const { shard, epoch, dataCentre, owner, address, waiting, free, room, use, demand } = load;
    return {
      shard,
      epoch,
      origin: { dataCentre, owner, address },
      waiting,
      free: toAmount(free),
      room: toAmount(room),
      ...(this.#includesTeams
        ? { use: describeAmounts(use), demand: describeAmounts(demand) }
        : {}),
    };
  }

  #describeChange(load: ShardLoad): ShardNotice | undefined {
    const known = this.#findLastSent(load);
    if (known === undefined) return this.#describe(load);
    const { shard, epoch, waiting, free, room } = load;
    const use = this.#includesTeams ? compareAmounts(known.use, load.use) : {};
    const demand = this.#includesTeams ? compareAmounts(known.demand, load.demand) : {};
    const change: ShardNotice = {
      shard,
      epoch,
      ...(waiting === known.waiting ? {} : { waiting }),
      ...(isSame(free, known.free) ? {} : { free: toAmount(free) }),
      ...(isSame(room, known.room) ? {} : { room: toAmount(room) }),
      ...(Object.keys(use).length === 0 ? {} : { use }),
      ...(Object.keys(demand).length === 0 ? {} : { demand }),
    };
    const hasChange = Object.keys(change).length > 2;
    return hasChange ? change : undefined;
  }
}
