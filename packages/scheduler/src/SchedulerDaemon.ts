import { createFailure, truncateEvents, Router, type TakeoverIndex } from '@toucanline/core';
import { HttpWorkerGateway } from '@toucanline/clients';
import {
  addHealthRoutes,
  Daemon,
  EventReplicator,
  PeerSet,
  type ProcessRuntime,
} from '@toucanline/runtime';
import type { CallBody, HostRecord, NoticeBody, ReplyBody } from '@toucanline/schema';
import { LinkHandler, LinkListener, type Link } from '@toucanline/wire';
import restana from 'restana';
import { LoadNotifier } from './LoadNotifier.js';
import { ShardBalancer } from './ShardBalancer.js';
import { ShardCandidate } from './ShardCandidate.js';
import type { ShardRunner } from './ShardRunner.js';
import { TakeoverCoordinator } from './TakeoverCoordinator.js';

const loadNoticeIntervalMs = 500;
const balanceIntervalMs = 1000;
/** Time for the last replies to leave before the links close. */
const replyFlushMs = 100;

const createFailureReply = (
  kind: Parameters<typeof createFailure>[0],
  detail: string,
): ReplyBody => ({
  reply: 'failure',
  failure: createFailure(kind, detail),
});

/** Passes the messages of links to the daemon. */
class SchedulerLinkHandler extends LinkHandler {
  readonly #onCall: (body: CallBody) => Promise<ReplyBody> | ReplyBody;
  readonly #onNotice: (link: Link, body: NoticeBody) => void;

  readonly #onActivity: (process: string) => void;

  public constructor(
    onCall: (body: CallBody) => Promise<ReplyBody> | ReplyBody,
    onNotice: (link: Link, body: NoticeBody) => void,
    onAlive: (process: string) => void,
  ) {
    super();
    this.#onActivity = onAlive;
    this.#onCall = onCall;
    this.#onNotice = onNotice;
  }

  public override handleOpen(): void {
    // Nothing to prepare: the next load notice reaches the peer.
  }

  public override async handleCall(_link: Link, body: CallBody): Promise<ReplyBody> {
    return this.#onCall(body);
  }

  public override handleNotice(link: Link, body: NoticeBody): void {
    this.#onNotice(link, body);
  }

  public override handleActivity(link: Link): void {
    if (link.peer !== undefined) this.#onActivity(link.peer.process);
  }

  public override handleClose(): void {
    // The peer reconnects.
  }
}

/** The scheduler daemon: candidate owner of all shards of its data centre. */
export class SchedulerDaemon extends Daemon {
  readonly #runtime: ProcessRuntime;
  readonly #gateway = new HttpWorkerGateway();
  readonly #router: Router;
  readonly #linkHandler: SchedulerLinkHandler;
  readonly #loadNotifier: LoadNotifier;
  readonly #events: EventReplicator;
  readonly #balancer: ShardBalancer;
  readonly #listener: LinkListener;
  readonly #candidates = new Map<string, ShardCandidate>();
  #peers: PeerSet | undefined;
  #takeoverCoordinator: TakeoverCoordinator | undefined;
  /** Workers of this data centre in the last host list that was read. */
  #workers: readonly HostRecord[] | undefined;
  #address = '';
  /** Sum of the revisions that the shards know. */
  #appliedRevisionSum = 0;
  #isStopping = false;

  /** @param runtime - the process */
  public constructor(runtime: ProcessRuntime) {
    super();
    this.#runtime = runtime;
    this.#router = new Router(runtime.clock, runtime.settings.dataCentre);
    this.#linkHandler = new SchedulerLinkHandler(
      (body) => this.#handleCall(body),
      (link, body) => {
        this.#applyNotice(link, body);
      },
      (process) => {
        this.#router.markAlive(process);
      },
    );
    this.#loadNotifier = new LoadNotifier(runtime.settings.dataCentre);
    this.#events = new EventReplicator(runtime, () => this.#openLinks);
    this.#balancer = new ShardBalancer({
      clock: runtime.clock,
      process: runtime.settings.process,
      router: this.#router,
      listShards: () =>
        runtime.configurationHolder.policy?.listShards(runtime.settings.dataCentre) ?? [],
      listPeers: () => this.#listPeers(),
      findCandidate: (shard) => this.#candidates.get(shard),
    });
    this.#listener = new LinkListener(runtime.hello, this.#linkHandler);
  }

  /** {@inheritDoc Daemon.start} */
  public override async start(): Promise<void> {
    const { settings } = this.#runtime;
    const { host, port } = settings.link ?? { host: settings.http.host, port: 0 };
    const bound = await this.#listener.listen(host, port);
    this.#address = settings.linkAddress ?? bound;
    this.#peers = new PeerSet(this.#runtime, this.#linkHandler, this.#address, (hosts) => {
      this.#applyHosts(hosts);
    });
    this.#peers.start();
    this.#events.start();
    const service = restana();
    addHealthRoutes(service, () => this.#isReady);
    await service.start(settings.http.port, settings.http.host);
    this.#runtime.followRevisions(
      () => this.#runners.length > 0,
      () => {
        this.#applyRevision();
      },
    );
    void this.#runPeriodically(loadNoticeIntervalMs, () => {
      this.#applyNewRevision();
      this.#sendLoad();
    });
    void this.#runPeriodically(balanceIntervalMs, () => {
      void this.#balancer.balance();
    });
    this.#takeoverCoordinator = new TakeoverCoordinator({
      runtime: this.#runtime,
      router: this.#router,
      address: this.#address,
      readPolicy: () => this.#runtime.configurationHolder.policy,
      hasConfirmedClaim: () => this.#runners.some((host) => host.hasConfirmedClaim),
      isOwnerOf: (shard) => this.#candidates.get(shard)?.runner !== undefined,
      onIndex: (book) => {
        this.#applyTakeovers(book);
      },
    });
    void this.#takeoverCoordinator.run(() => !this.#isStopping);
    this.#runtime.log.write('info', 'listening for links', { address: this.#address });
  }

  /** {@inheritDoc Daemon.drain} */
  public override async drain(): Promise<void> {
    this.#isStopping = true;
    await Promise.all([...this.#candidates.values()].map((candidate) => candidate.stop()));
    this.#events.stop();
    await this.#runtime.clock.sleep(replyFlushMs);
    this.#peers?.stop();
    this.#listener.close();
    await this.#gateway.close();
  }

  get #isReady(): boolean {
    return !this.#isStopping && this.#runtime.configurationHolder.policy !== undefined;
  }

  get #runners(): readonly ShardRunner[] {
    return [...this.#candidates.values()].flatMap(({ runner: host }) =>
      host === undefined ? [] : [host],
    );
  }

  get #openLinks(): readonly Link[] {
    return [...(this.#peers?.links ?? []), ...this.#listener.links];
  }

  async #runPeriodically(periodMs: number, action: () => void): Promise<void> {
    while (!this.#isStopping) {
      action();
      await this.#runtime.clock.sleep(periodMs);
    }
  }

  /** Becomes a candidate for new shards of the data centre and passes the policy on. */
  #applyRevision(): void {
    const { configurationHolder: holder, keyRing, settings } = this.#runtime;
    const { policy } = holder;
    if (policy === undefined) return;
    this.#appliedRevisionSum = holder.revision + keyRing.revision;
    for (const shard of policy.listShards(settings.dataCentre)) {
      if (this.#candidates.has(shard) || this.#isStopping) continue;
      const candidate = new ShardCandidate(
        {
          runtime: this.#runtime,
          gateway: this.#gateway,
          router: this.#router,
          readPolicy: () => holder.policy,
          listWorkers: () => this.#listWorkers(shard),
          listPeers: () => this.#listPeers(),
          isTakeoverPending: () => this.#takeoverCoordinator?.isTakeoverPending(shard) ?? false,
          onChange: () => {
            this.#sendLoad();
          },
        },
        shard,
        this.#address,
      );
      this.#candidates.set(shard, candidate);
      void candidate.run();
    }
    for (const host of this.#runners) {
      host.applyPolicy(policy);
      host.applyKeys(keyRing);
    }
    this.#sendLoad();
  }

  #applyTakeovers(book: TakeoverIndex): void {
    for (const [shard, candidate] of this.#candidates) {
      if (this.#takeoverCoordinator?.isTakeoverPending(shard) === true) candidate.stepDown();
      else candidate.runner?.applyTakeovers(book);
    }
  }

  #applyHosts(hosts: readonly HostRecord[]): void {
    const { dataCentre } = this.#runtime.settings;
    this.#workers = hosts.filter(
      (host) => host.role === 'worker' && host.dataCentre === dataCentre,
    );
    for (const host of this.#runners) {
      const workers = this.#listWorkers(host.shard.name);
      if (workers !== undefined) host.applyHosts(workers);
    }
  }

  #listWorkers(shard: string): readonly HostRecord[] | undefined {
    const { configurationHolder: holder, settings } = this.#runtime;
    const owned = holder.policy?.listShards(settings.dataCentre) ?? [];
    const position = owned.indexOf(shard);
    return this.#workers?.filter((_, index) => index % owned.length === position);
  }

  #listPeers(): readonly Link[] {
    const { dataCentre } = this.#runtime.settings;
    return this.#openLinks.filter(
      ({ peer, isClosed }) =>
        !isClosed && peer?.role === 'scheduler' && peer.dataCentre === dataCentre,
    );
  }

  #sendLoad(): void {
    const {
      clock,
      configurationHolder: holder,
      keyRing,
      keyListAge: keysContact,
      recorder,
      settings,
    } = this.#runtime;
    const { ageMs } = keysContact;
    const serving = this.#runners.filter((host) => host.isServing);
    const shards = serving.map((host) => host.shard.describeLoad());
    this.#router.applyLocalLoads(settings.process, shards);
    this.#loadNotifier.notifyPeers(
      this.#openLinks,
      clock.now(),
      {
        shards,
        configurationRevision: holder.revision,
        keysRevision: keyRing.revision,
        takeovers: this.#takeoverCoordinator?.announcement ?? { version: 0, watched: false },
      },
      { stamp: recorder.stamp(), ...(Number.isFinite(ageMs) ? { keysAgeMs: ageMs } : {}) },
    );
    this.#applyLoads();
  }

  #applyLoads(): void {
    const names = this.#runtime.configurationHolder.policy?.shards ?? [];
    const loads = names.flatMap((name) => this.#router.findLoad(name) ?? []);
    for (const host of this.#runners) {
      host.applyLoads(loads.filter(({ shard }) => shard !== host.shard.name));
    }
  }

  #applyNotice(link: Link, body: NoticeBody): void {
    if (link.peer !== undefined) {
      const { process, dataCentre } = link.peer;
      if (body.notice === 'events') this.#runtime.eventArchive.add(process, dataCentre, body);
      else this.#router.applyNotice(process, body);
    }
    if (body.notice === 'events') return;
    this.#takeoverCoordinator?.applyNotice(link, body);
    void this.#peers?.applyRevisions(link, body).then(() => {
      this.#applyNewRevision();
    });
  }

  /** A revision may also have been learned by a dialled link, whose notices pass the peer set first. */
  #applyNewRevision(): void {
    const { configurationHolder: holder, keyRing } = this.#runtime;
    if (holder.revision + keyRing.revision > this.#appliedRevisionSum) this.#applyRevision();
  }

  #handleCall(body: CallBody): Promise<ReplyBody> | ReplyBody {
    switch (body.call) {
      case 'submit': {
        if (body.stamp !== undefined) this.#runtime.recorder.observe(body.stamp);
        const host = this.#candidates.get(body.shard)?.runner;
        return (
          host?.submit(body) ?? createFailureReply('notOwner', `not the owner of ${body.shard}`)
        );
      }
      case 'wait': {
        const host = this.#findRunner(body.requestId);
        const waiting = host?.wait(body.requestId, body.team, body.waitMs, body);
        return (
          waiting ?? createFailureReply('notOwner', 'not the owner of the shard of this request')
        );
      }
      case 'cancel': {
        const host = this.#findRunner(body.requestId);
        const reply = host?.cancel(body.requestId, body.team);
        return (
          reply ?? createFailureReply('notOwner', 'not the owner of the shard of this request')
        );
      }
      case 'status':
        return this.#createStatusReply();
      case 'events':
        return {
          reply: 'events',
          events: truncateEvents(this.#runtime.listEvents(body.sinceMs, body.requestId)),
        };
      case 'configuration':
        return this.#createConfigurationReply(body.configurationRevision, body.keysRevision);
      case 'drain':
        return (
          this.#candidates.get(body.shard)?.runner?.drain(body.worker, body.drained) ??
          createFailureReply('notOwner', `not the owner of ${body.shard}`)
        );
      case 'handover':
        return this.#candidates.get(body.snapshot.shard)?.acceptHandover(body) === true
          ? { reply: 'done' }
          : createFailureReply('notOwner', 'the handover is not accepted');
      case 'jobState':
      case 'queueDepth':
      case 'permits':
      case 'jobAccepted':
        return createFailureReply('notOwner', 'schedulers of shards hold no jobs of steps');
    }
  }

  #findRunner(requestId: string): ShardRunner | undefined {
    const successor = this.#takeoverCoordinator?.index.findSuccessor(requestId);
    const host = successor === undefined ? undefined : this.#candidates.get(successor)?.runner;
    if (host !== undefined) return host;
    return this.#candidates.get(requestId.split('.')[0] ?? '')?.runner;
  }

  #createStatusReply(): ReplyBody {
    const { settings, configurationHolder: holder, keyRing, invariant } = this.#runtime;
    return {
      reply: 'status',
      status: {
        process: settings.process,
        role: 'scheduler',
        dataCentre: settings.dataCentre,
        ready: this.#isReady,
        configurationRevision: holder.revision,
        keysRevision: keyRing.revision,
        violations: invariant.violations,
        shards: this.#runners.map((host) => host.shard.describeStatus()),
      },
    };
  }

  #createConfigurationReply(configurationRevision: number, keysRevision: number): ReplyBody {
    const { configuration } = this.#runtime.configurationHolder;
    const { list } = this.#runtime.keyRing;
    const { ageMs } = this.#runtime.keyListAge;
    return {
      reply: 'configuration',
      ...(configuration !== undefined && configuration.revision > configurationRevision
        ? { configuration }
        : {}),
      ...(list !== undefined && list.revision > keysRevision ? { keys: list } : {}),
      ...(list !== undefined && list.revision >= keysRevision && Number.isFinite(ageMs)
        ? { keysAgeMs: ageMs }
        : {}),
    };
  }
}
