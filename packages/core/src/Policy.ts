import type { Document, QueueSection, Resources } from '@toucanline/schema';

const defaultDeadlineSeconds = 600;
const defaultRetries = 3;
const defaultMaxWaiting = 10_000;
const defaultKeyGraceSeconds = 300;
/**
 * Lower bound of the grace period for unconfirmed keys. In normal operation the last confirmation is up to
 * 2.5 s old: a watch lasts 2 s and load notices are sent every 0.5 s. A shorter grace period would refuse
 * valid keys.
 */
const minKeyGraceSeconds = 5;
const defaultReleaseAfterSeconds = 60;
const defaultLowerLimitSeconds = 30;
const defaultHalfLifeSeconds = 30;
const defaultQuarantineFailures = 5;
const defaultFirstProbeSeconds = 30;
const defaultMaxFraction = 0.2;

/** Policy of a configuration document: typed access to its values, with defaults for those that are not set. */
export class Policy {
  readonly #document: Document;

  /** @param document - a valid configuration document */
  public constructor(document: Document) {
    this.#document = document;
  }

  /** The underlying document. */
  public get document(): Document {
    return this.#document;
  }

  /** Names of all shards, sorted. */
  public get shards(): readonly string[] {
    return Object.keys(this.#document.shards).sort();
  }

  /** Share of each team, which is its weight in fair sharing. */
  public get weights(): ReadonlyMap<string, number> {
    return new Map(Object.entries(this.#document.teams).map(([team, { share }]) => [team, share]));
  }

  /** Limit of each team that has one. */
  public get limits(): ReadonlyMap<string, Resources> {
    const limits = new Map<string, Resources>();
    for (const [team, { limit }] of Object.entries(this.#document.teams)) {
      if (limit !== undefined) limits.set(team, limit);
    }
    return limits;
  }

  /** Queues whose requests a data centre releases when it is cut off, with the delay in milliseconds. */
  public get releaseDelaysMs(): ReadonlyMap<string, number> {
    const delaysMs = new Map<string, number>();
    for (const [queue, section] of Object.entries(this.#document.queues)) {
      if (section.whenCutOff !== 'release') continue;
      delaysMs.set(queue, (section.releaseAfterSeconds ?? defaultReleaseAfterSeconds) * 1000);
    }
    return delaysMs;
  }

  /** Time within which work above a lowered limit has to be stopped, in milliseconds. */
  public get lowerLimitMs(): number {
    const seconds = this.#document.placement?.lowerLimitSeconds ?? defaultLowerLimitSeconds;
    return seconds * 1000;
  }

  /** Half-life of the decayed average use in fair sharing, in milliseconds. */
  public get fairShareHalfLifeMs(): number {
    const seconds = this.#document.placement?.fairShareHalfLifeSeconds ?? defaultHalfLifeSeconds;
    return seconds * 1000;
  }

  /**
   * Number of failures before quarantine, delay of the first probe in milliseconds, and largest fraction of the
   * workers that may be in quarantine.
   */
  public get quarantine(): {
    readonly failures: number;
    readonly firstProbeMs: number;
    readonly maxFraction: number;
  } {
    const { failures, firstProbeSeconds, maxFraction } = this.#document.quarantine ?? {};
    return {
      failures: failures ?? defaultQuarantineFailures,
      firstProbeMs: (firstProbeSeconds ?? defaultFirstProbeSeconds) * 1000,
      maxFraction: maxFraction ?? defaultMaxFraction,
    };
  }

  /**
   * Lists the shards of a data centre.
   *
   * @param dataCentre - name of the data centre
   * @returns names of the shards
   */
  public listShards(dataCentre: string): readonly string[] {
    return this.shards.filter((shard) => this.#document.shards[shard]?.dataCentre === dataCentre);
  }

  /**
   * Finds the data centre of a shard.
   *
   * @param shard - name of the shard
   * @returns name of the data centre; undefined if the document has no such shard
   */
  public findDataCentre(shard: string): string | undefined {
    return this.#document.shards[shard]?.dataCentre;
  }

  /**
   * Finds a queue.
   *
   * @param queue - name of the queue
   * @returns section of the queue; undefined if the document has no such queue
   */
  public findQueue(queue: string): QueueSection | undefined {
    return Object.hasOwn(this.#document.queues, queue) ? this.#document.queues[queue] : undefined;
  }

  /**
   * Finds the limit of a team over the whole fleet.
   *
   * @param team - name of the team
   * @returns the limit; undefined if the team has none
   */
  public findLimit(team: string): Resources | undefined {
    return this.#document.teams[team]?.limit;
  }

  /**
   * Reads the longest deadline that requests in a queue may have.
   *
   * @param queue - name of the queue
   * @returns duration in milliseconds
   */
  public readMaxDeadlineMs(queue: string): number {
    return (this.findQueue(queue)?.deadlineSeconds ?? defaultDeadlineSeconds) * 1000;
  }

  /**
   * Reads how often a task of a queue may be retried.
   *
   * @param queue - name of the queue
   * @returns maximum number of starts after the first one
   */
  public readRetries(queue: string): number {
    return this.findQueue(queue)?.retries ?? defaultRetries;
  }

  /**
   * Reads the maximum number of waiting requests per team and shard.
   *
   * @param queue - name of the queue
   * @returns number of requests
   */
  public readMaxWaiting(queue: string): number {
    return this.findQueue(queue)?.maxWaiting ?? defaultMaxWaiting;
  }

  /**
   * Reads how long a queue accepts keys after the last confirmation of the key list.
   *
   * @param queue - name of the queue
   * @returns grace period in milliseconds
   */
  public readKeyGraceMs(queue: string): number {
    const seconds = this.findQueue(queue)?.keyGraceSeconds ?? defaultKeyGraceSeconds;
    return Math.max(seconds, minKeyGraceSeconds) * 1000;
  }

  /**
   * Checks whether a task fits any worker class of the document. If the document declares no classes, every
   * size is accepted.
   *
   * @param size - size of the task
   * @param acceleratorType - required type of accelerator; undefined if any will do
   * @returns true unless no class is large enough
   */
  public canEverFit(size: Resources, acceleratorType?: string): boolean {
    const classes = Object.values(this.#document.workers ?? {});
    if (classes.length === 0) return true;
    return classes.some(
      ({ room, acceleratorType: offered }) =>
        (acceleratorType === undefined || acceleratorType === offered) &&
        size.processors <= room.processors &&
        size.memoryMb <= room.memoryMb &&
        size.accelerators <= room.accelerators,
    );
  }
}
