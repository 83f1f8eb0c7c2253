import type { MetadataStore } from '@toucanline/jobs';
import { validators, type LeaderRecord } from '@toucanline/schema';
import type { DecisionLog } from './DecisionLog.js';
import { hostTimes } from './hostTimes.js';
import { LeaderClaim } from './LeaderClaim.js';
import { parseStored } from './parseStored.js';
import { StoreFeed } from './StoreFeed.js';
import { storeKeys } from './storeKeys.js';

/** What the election tells its host. */
interface ElectionHandler {
  /** This host became leader. */
  readonly elected: (claim: LeaderClaim) => void;
  /** This host's claim ended. */
  readonly deposed: () => void;
  /** Another leader is known, or none. */
  readonly observed: (leader: LeaderRecord | undefined) => void;
}

/** Takes part in the election of the leader through a key with a lease in the store. */
export class Election {
  readonly #store: MetadataStore;
  readonly #host: string;
  readonly #address: string;
  readonly #log: DecisionLog;
  readonly #handler: ElectionHandler;
  readonly #feed: StoreFeed;
  #holder: LeaderRecord | undefined;
  #termRevision = 0;
  #term = 0;
  #claim: LeaderClaim | undefined;
  #isCampaigning = false;
  #hasClaimed = false;
  #stopped = false;

  /**
   * @param store - the store
   * @param host - name of this host
   * @param address - address for links of other hosts
   * @param log - log of the process
   * @param handler - takes the results
   */
  public constructor(
    store: MetadataStore,
    host: string,
    address: string,
    log: DecisionLog,
    handler: ElectionHandler,
  ) {
    this.#store = store;
    this.#host = host;
    this.#address = address;
    this.#log = log;
    this.#handler = handler;
    this.#feed = new StoreFeed(store, storeKeys.election, hostTimes.leaderWaitMs, {
      replace: (items) => {
        this.#holder = undefined;
        for (const { key, value, revision } of items) this.#take(key, value, revision);
        this.#endFormerClaim();
        this.#observe();
      },
      change: ({ key, value, revision }) => {
        this.#take(key, value, revision);
        this.#observe();
      },
    });
  }

  /** Takes part until stopped. */
  public start(): void {
    void this.#feed.run();
  }

  /** Leaves the election and gives the claim back, so that another host takes over at once. */
  public async stop(): Promise<void> {
    this.#stopped = true;
    this.#feed.stop();
    const claim = this.#claim;
    if (claim === undefined) return;
    this.#depose('stopping');
    const ended = await this.#store.revokeLease(claim.lease);
    this.#log.write('claimReturned', {
      term: claim.term,
      outcome: ended.isOk() ? 'ended' : ended.error.kind,
    });
  }

  /** Called when a worker or the store shows that a newer leader exists. */
  public abandon(reason: string): void {
    this.#depose(reason);
    this.#observe();
  }

  /** A holder with this host's name is its own killed process: waiting for the end of its lease helps nobody. */
  #endFormerClaim(): void {
    if (this.#holder?.host !== this.#host || this.#hasClaimed) return;
    this.#log.write('formerClaimEnded', { term: this.#holder.term });
    void this.#store.revokeLease(this.#holder.lease);
  }

  #take(key: string, value: string | undefined, revision: number): void {
    if (key === storeKeys.holder) {
      this.#holder = value === undefined ? undefined : parseStored(validators.LeaderRecord, value);
    } else if (key === storeKeys.term) {
      this.#term = Number(value ?? 0);
      this.#termRevision = revision;
    }
  }

  #observe(): void {
    const claim = this.#claim;
    if (claim !== undefined && this.#holder?.term !== claim.term) {
      const isNewer = this.#holder !== undefined && this.#holder.term > claim.term;
      if (isNewer || this.#term >= claim.term) this.#depose('the key has another holder');
    }
    this.#handler.observed(this.#holder);
    if (this.#holder === undefined && this.#claim === undefined) void this.#campaign();
  }

  get #isVacant(): boolean {
    return this.#holder === undefined && !this.#stopped && this.#claim === undefined;
  }

  async #campaign(): Promise<void> {
    if (this.#isCampaigning || this.#stopped) return;
    this.#isCampaigning = true;
    try {
      await this.#sleep(Math.random() * hostTimes.campaignSpreadMs);
      while (this.#isVacant) {
        if (await this.#tryClaim()) break;
        await this.#sleep(hostTimes.watchRetryMs);
      }
    } finally {
      this.#isCampaigning = false;
    }
  }

  async #tryClaim(): Promise<boolean> {
    this.#hasClaimed = true;
    const sentAt = performance.now();
    const sentWall = Date.now();
    const lease = await this.#store.grantLease(hostTimes.leaderTtlMs);
    if (lease.isErr()) return false;
    const term = this.#term + 1;
    const record: LeaderRecord = {
      host: this.#host,
      address: this.#address,
      term,
      lease: lease.value,
    };
    const outcome = await this.#store.commit({
      expected: [
        { key: storeKeys.holder, revision: 0 },
        { key: storeKeys.term, revision: this.#termRevision },
      ],
      put: [
        { key: storeKeys.holder, value: JSON.stringify(record), lease: lease.value },
        { key: storeKeys.term, value: String(term) },
      ],
    });
    if (outcome.isErr() || !outcome.value.committed) {
      // After an unknown outcome the lease runs out by itself; the key goes with it.
      void this.#store.revokeLease(lease.value);
      return false;
    }
    const claim = new LeaderClaim(term, outcome.value.revision, lease.value);
    claim.confirm(sentAt, sentWall);
    this.#claim = claim;
    this.#holder = record;
    this.#log.write('leaderElected', { term, revision: claim.revision });
    this.#handler.elected(claim);
    void this.#renew(claim);
    return true;
  }

  async #renew(claim: LeaderClaim): Promise<void> {
    while (this.#claim === claim) {
      await this.#sleep(hostTimes.renewalMs);
      // A renewal without an answer must not hold up the next one, or the lease ends meanwhile.
      if (this.#claim === claim) void this.#renewOnce(claim);
    }
  }

  async #renewOnce(claim: LeaderClaim): Promise<void> {
    const sentAt = performance.now();
    const sentWall = Date.now();
    const renewed = await this.#store.renewLease(claim.lease);
    if (this.#claim !== claim) return;
    if (renewed.isErr()) {
      if (!claim.mayOrder) this.#depose('the claim could not be renewed');
    } else if (renewed.value) claim.confirm(sentAt, sentWall);
    else this.#depose('the lease ended');
  }

  #depose(reason: string): void {
    const claim = this.#claim;
    if (claim === undefined) return;
    claim.lose();
    this.#claim = undefined;
    if (this.#holder?.term === claim.term) this.#holder = undefined;
    this.#log.write('leaderDeposed', { term: claim.term, reason });
    this.#handler.deposed();
    // The key may be gone already: the feed has told that before.
    if (!this.#stopped) void this.#recheck();
  }

  /** Reads the key again: a change that was told before the claim ended would be missed. */
  async #recheck(): Promise<void> {
    await this.#feed.read();
  }

  #sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
