import type { MetadataStore } from '@toucanline/jobs';
import { validators, type LeaderRecord } from '@toucanline/schema';
import { CampaignDelay } from './CampaignDelay.js';
import type { EventLog } from './EventLog.js';
import { hostLimits } from './hostLimits.js';
import { LeaderLease } from './LeaderLease.js';
import { parseStoredRecord } from './parseStoredRecord.js';
import { PrefixWatch } from './PrefixWatch.js';
import { storeKeys } from './storeKeys.js';

/** Callbacks of the election. */
interface ElectionHandler {
  /** Called when this host becomes leader. */
  readonly onElected: (lease: LeaderLease) => void;
  /** Called when this host is no longer leader. */
  readonly onDeposed: () => void;
  /** Called with the current leader whenever the holder key is evaluated; undefined if there is none. */
  readonly onLeaderChange: (leader: LeaderRecord | undefined) => void;
}

/** Takes part in the leader election: the leader holds a key in the store that is attached to a lease. */
export class Election {
  readonly #store: MetadataStore;
  readonly #host: string;
  readonly #address: string;
  readonly #log: EventLog;
  readonly #handler: ElectionHandler;
  readonly #watch: PrefixWatch;
  readonly #campaignDelay: CampaignDelay;
  #holder: LeaderRecord | undefined;
  #termRevision = 0;
  #term = 0;
  #fitnessRevision = 0;
  #lease: LeaderLease | undefined;
  #isCampaigning = false;
  /** Attempt to become the leader that is in progress. */
  #attempt: Promise<boolean> | undefined;
  #hasCampaigned = false;
  #isStopped = false;

  /**
   * @param store - metadata store
   * @param host - name of this host
   * @param address - IP and port for links from other hosts
   * @param fitness - how well this host can carry the leader
   * @param log - event log of this process
   * @param handler - callbacks of the election
   */
  public constructor(
    store: MetadataStore,
    host: string,
    address: string,
    fitness: number,
    log: EventLog,
    handler: ElectionHandler,
  ) {
    this.#campaignDelay = new CampaignDelay(fitness);
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
        void this.#publishFitness();
        this.#handleHolderChange();
      },
      onChange: ({ key, value, revision }) => {
        this.#applyItem(key, value, revision);
        if (key === storeKeys.bestFitness) void this.#publishFitness();
        else this.#handleHolderChange();
      },
      onError: (error) => {
        log.writeError('election', error);
      },
    });
  }

  /** Takes part in elections until stopped. */
  public start(): void {
    void this.#watch.run();
  }

  /**
   * Leaves the election, ends a campaign that is in progress, and revokes the leader lease, so that another host can
   * take over at once.
   */
  public async stop(): Promise<void> {
    this.#isStopped = true;
    this.#watch.stop();
    await this.#attempt;
    const lease = this.#lease;
    if (lease === undefined) return;
    this.#depose('stopping');
    const ended = await this.#store.revokeLease(lease.leaseId);
    this.#log.write('claimReturned', {
      term: lease.term,
      outcome: ended.isOk() ? 'ended' : ended.error.kind,
    });
  }

  /**
   * Gives up leadership because a worker or the store has shown that a newer leader exists.
   *
   * @param reason - reason for the log
   */
  public stepDown(reason: string): void {
    this.#depose(reason);
    this.#handleHolderChange();
  }

  /**
   * Hands over the leadership, so that another host can be elected at once.
   *
   * @param reason - reason for the log
   */
  public async resign(reason: string): Promise<void> {
    const lease = this.#lease;
    if (lease === undefined) return;
    this.#campaignDelay.holdBack(performance.now());
    this.#depose(reason);
    await this.#store.revokeLease(lease.leaseId);
  }

  /**
   * Checks whether a host is so much fitter than this one that the leadership should move there.
   *
   * @param fitness - fitness that the other host announced
   * @returns true if a hand-over is worth its cost
   */
  public isOutranked(fitness: number): boolean {
    return this.#campaignDelay.isOutranked(fitness);
  }

  /** Writes the fitness of this host to the store if no fitter host has written its own. */
  async #publishFitness(): Promise<void> {
    if (this.#isStopped || !this.#campaignDelay.isBest) return;
    const { fitness } = this.#campaignDelay;
    // If another host wrote at the same time, the watch delivers its value.
    await this.#store.commit({
      expected: [{ key: storeKeys.bestFitness, revision: this.#fitnessRevision }],
      put: [{ key: storeKeys.bestFitness, value: String(fitness) }],
    });
  }

  /**
   * Revokes the lease of an earlier process of this host, so that the election need not wait until it expires. A holder
   * with this host's name that exists before this process has campaigned is a process that was killed.
   */
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
    } else if (key === storeKeys.bestFitness) {
      this.#campaignDelay.recordBest(Number(value));
      this.#fitnessRevision = revision;
    }
  }

  #handleHolderChange(): void {
    const lease = this.#lease;
    if (lease !== undefined && this.#holder?.term !== lease.term) {
      const isNewer = this.#holder !== undefined && this.#holder.term > lease.term;
      if (isNewer || this.#term >= lease.term) this.#depose('another host holds the leader lease');
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
      await this.#sleep(this.#campaignDelay.computeMs(performance.now(), Math.random()));
      while (this.#canCampaign) {
        this.#attempt = this.#tryAcquireLease();
        if (await this.#attempt) break;
        await this.#sleep(hostLimits.watchRetryMs);
      }
    } finally {
      this.#isCampaigning = false;
    }
  }

  async #tryAcquireLease(): Promise<boolean> {
    this.#hasCampaigned = true;
    const sentAt = performance.now();
    const sentAtWall = Date.now();
    const granted = await this.#store.grantLease(hostLimits.leaderLeaseTtlMs);
    if (granted.isErr()) return false;
    if (await this.#abandonIfStopped(granted.value)) return false;
    const term = this.#term + 1;
    const record: LeaderRecord = {
      host: this.#host,
      address: this.#address,
      term,
      lease: granted.value,
    };
    const outcome = await this.#store.commit({
      expected: [
        { key: storeKeys.holder, revision: 0 },
        { key: storeKeys.term, revision: this.#termRevision },
      ],
      put: [
        { key: storeKeys.holder, value: JSON.stringify(record), lease: granted.value },
        { key: storeKeys.term, value: String(term) },
      ],
    });
    if (outcome.isErr() || !outcome.value.committed) {
      // If the outcome is unknown, the lease expires by itself and the store removes the key with it.
      void this.#store.revokeLease(granted.value);
      return false;
    }
    // The host began to stop while the write was in progress.
    if (await this.#abandonIfStopped(granted.value)) return false;
    const lease = new LeaderLease(term, outcome.value.revision, granted.value);
    lease.recordRenewal(sentAt, sentAtWall);
    this.#lease = lease;
    this.#holder = record;
    this.#log.write('leaderElected', { term, revision: lease.holderRevision });
    this.#handler.onElected(lease);
    void this.#renewPeriodically(lease);
    return true;
  }

  /** Revokes the lease of a campaign if this host stops, so that another host can be elected at once. */
  async #abandonIfStopped(leaseId: number): Promise<boolean> {
    if (this.#isStopped) await this.#store.revokeLease(leaseId);
    return this.#isStopped;
  }

  async #renewPeriodically(lease: LeaderLease): Promise<void> {
    while (this.#lease === lease) {
      await this.#sleep(hostLimits.leaseRenewalIntervalMs);
      // Not awaited: a renewal without an answer must not delay the next one, or the lease would expire.
      if (this.#lease === lease) void this.#renewOnce(lease);
    }
  }

  async #renewOnce(lease: LeaderLease): Promise<void> {
    const sentAt = performance.now();
    const sentAtWall = Date.now();
    const renewed = await this.#store.renewLease(lease.leaseId);
    if (this.#lease !== lease) return;
    if (renewed.isErr()) {
      if (!lease.canIssueCommands) this.#depose('the leader lease could not be renewed');
    } else if (renewed.value) lease.recordRenewal(sentAt, sentAtWall);
    else this.#depose('the leader lease expired');
  }

  #depose(reason: string): void {
    const lease = this.#lease;
    if (lease === undefined) return;
    lease.markLost();
    this.#lease = undefined;
    if (this.#holder?.term === lease.term) this.#holder = undefined;
    this.#log.write('leaderDeposed', { term: lease.term, reason });
    this.#handler.onDeposed();
    // The watch may have reported the removal of the key before the lease was marked as lost.
    if (!this.#isStopped) void this.#rereadHolder();
  }

  /** Reads the holder key again, since a change reported before the lease was lost was ignored. */
  async #rereadHolder(): Promise<void> {
    await this.#watch.list();
  }

  #sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
