import type { MetadataStore } from '@toucanline/jobs';
import { validators, type LeaderRecord } from '@toucanline/schema';
import type { EventLog } from './EventLog.js';
import { hostLimits } from './hostLimits.js';
import { LeaderLease } from './LeaderLease.js';
import { parseStoredRecord } from './parseStoredRecord.js';
import { PrefixWatch } from './PrefixWatch.js';
import { storeKeys } from './storeKeys.js';

/** What the election tells its host. */
interface ElectionHandler {
  /** This host became leader. */
  readonly onElected: (claim: LeaderLease) => void;
  /** This host's claim ended. */
  readonly onDeposed: () => void;
  /** Another leader is known, or none. */
  readonly onLeaderChange: (leader: LeaderRecord | undefined) => void;
}

/** Takes part in the election of the leader through a key with a lease in the store. */
export class Election {
  readonly #store: MetadataStore;
  readonly #host: string;
  readonly #address: string;
  readonly #log: EventLog;
  readonly #handler: ElectionHandler;
  readonly #watch: PrefixWatch;
  #holder: LeaderRecord | undefined;
  #termRevision = 0;
  #term = 0;
  #lease: LeaderLease | undefined;
  #isCampaigning = false;
  #hasCampaigned = false;
  #isStopped = false;

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
    log: EventLog,
    handler: ElectionHandler,
  ) {
    this.#store = store;
    this.#host = host;
    this.#address = address;
    this.#log = log;
    this.#handler = handler;
    this.#watch = new PrefixWatch(store, storeKeys.electionPrefix, hostLimits.electionWatchMs, {
      onSnapshot: (items) => {
        this.#holder = undefined;
        for (const { key, value, revision } of items) this.#applyItem(key, value, revision);
        this.#endFormerLease();
        this.#handleHolderChange();
      },
      onChange: ({ key, value, revision }) => {
        this.#applyItem(key, value, revision);
        this.#handleHolderChange();
      },
    });
  }

  /** Takes part until stopped. */
  public start(): void {
    void this.#watch.run();
  }

  /** Leaves the election and gives the claim back, so that another host takes over at once. */
  public async stop(): Promise<void> {
    this.#isStopped = true;
    this.#watch.stop();
    const claim = this.#lease;
    if (claim === undefined) return;
    this.#depose('stopping');
    const ended = await this.#store.revokeLease(claim.leaseId);
    this.#log.write('claimReturned', {
      term: claim.term,
      outcome: ended.isOk() ? 'ended' : ended.error.kind,
    });
  }

  /** Called when a worker or the store shows that a newer leader exists. */
  public stepDown(reason: string): void {
    this.#depose(reason);
    this.#handleHolderChange();
  }

  /** A holder with this host's name is its own killed process: waiting for the end of its lease helps nobody. */
  #endFormerLease(): void {
    if (this.#holder?.host !== this.#host || this.#hasCampaigned) return;
    this.#log.write('formerClaimEnded', { term: this.#holder.term });
    void this.#store.revokeLease(this.#holder.lease);
  }

  #applyItem(key: string, value: string | undefined, revision: number): void {
    if (key === storeKeys.holder) {
      this.#holder =
        value === undefined ? undefined : parseStoredRecord(validators.LeaderRecord, value);
    } else if (key === storeKeys.term) {
      this.#term = Number(value ?? 0);
      this.#termRevision = revision;
    }
  }

  #handleHolderChange(): void {
    const claim = this.#lease;
    if (claim !== undefined && this.#holder?.term !== claim.term) {
      const isNewer = this.#holder !== undefined && this.#holder.term > claim.term;
      if (isNewer || this.#term >= claim.term) this.#depose('the key has another holder');
    }
    this.#handler.onLeaderChange(this.#holder);
    if (this.#holder === undefined && this.#lease === undefined) void this.#campaign();
  }

  get #canCampaign(): boolean {
    return this.#holder === undefined && !this.#isStopped && this.#lease === undefined;
  }

  async #campaign(): Promise<void> {
    if (this.#isCampaigning || this.#isStopped) return;
    this.#isCampaigning = true;
    try {
      await this.#sleep(Math.random() * hostLimits.campaignJitterMs);
      while (this.#canCampaign) {
        if (await this.#tryAcquireLease()) break;
        await this.#sleep(hostLimits.watchRetryMs);
      }
    } finally {
      this.#isCampaigning = false;
    }
  }

  async #tryAcquireLease(): Promise<boolean> {
    this.#hasCampaigned = true;
    const sentAt = performance.now();
    const sentWall = Date.now();
    const lease = await this.#store.grantLease(hostLimits.leaderLeaseTtlMs);
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
    const claim = new LeaderLease(term, outcome.value.revision, lease.value);
    claim.recordRenewal(sentAt, sentWall);
    this.#lease = claim;
    this.#holder = record;
    this.#log.write('leaderElected', { term, revision: claim.holderRevision });
    this.#handler.onElected(claim);
    void this.#renewPeriodically(claim);
    return true;
  }

  async #renewPeriodically(claim: LeaderLease): Promise<void> {
    while (this.#lease === claim) {
      await this.#sleep(hostLimits.leaseRenewalIntervalMs);
      // A renewal without an answer must not hold up the next one, or the lease ends meanwhile.
      if (this.#lease === claim) void this.#renewOnce(claim);
    }
  }

  async #renewOnce(claim: LeaderLease): Promise<void> {
    const sentAt = performance.now();
    const sentWall = Date.now();
    const renewed = await this.#store.renewLease(claim.leaseId);
    if (this.#lease !== claim) return;
    if (renewed.isErr()) {
      if (!claim.canIssueCommands) this.#depose('the claim could not be renewed');
    } else if (renewed.value) claim.recordRenewal(sentAt, sentWall);
    else this.#depose('the lease ended');
  }

  #depose(reason: string): void {
    const claim = this.#lease;
    if (claim === undefined) return;
    claim.markLost();
    this.#lease = undefined;
    if (this.#holder?.term === claim.term) this.#holder = undefined;
    this.#log.write('leaderDeposed', { term: claim.term, reason });
    this.#handler.onDeposed();
    // The key may be gone already: the feed has told that before.
    if (!this.#isStopped) void this.#rereadHolder();
  }

  /** Reads the key again: a change that was told before the claim ended would be missed. */
  async #rereadHolder(): Promise<void> {
    await this.#watch.list();
  }

  #sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
