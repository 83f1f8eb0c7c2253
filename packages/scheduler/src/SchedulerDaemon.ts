import { createFailure, truncateEvents, Router, type TakeoverIndex } from '@toucanline/core';
import { HttpWorkerGateway } from '@toucanline/clients';
import {
  addHealthRoutes,
  Daemon,
  EventReplicator,
  PeerSet,
  type ProcessRuntime,
  startHttpService,
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
/** Delay before the links close, so that the last replies are still sent. */
const replyFlushMs = 100;

const createFailureReply = (
  kind: Parameters<typeof createFailure>[0],
  detail: string,
): ReplyBody => ({
  reply: 'failure',
  failure: createFailure(kind, detail),
});

/** Forwards the messages of links to the daemon. */
class SchedulerLinkHandler extends LinkHandler {
  readonly #onCall: (body: CallBody) => Promise<ReplyBody> | ReplyBody;
  readonly #onNotice: (link: Link, body: NoticeBody) => void;

  readonly #onActivity: (process: string) => void;

  public constructor(
    onCall: (body: CallBody) => Promise<ReplyBody> | ReplyBody,
    onNotice: (link: Link, body: NoticeBody) => void,
    onActivity: (process: string) => void,
  ) {
    super();
    this.#onActivity = onActivity;
    this.#onCall = onCall;
    this.#onNotice = onNotice;
  }

  public override handleOpen(): void {
    // Nothing to do: the peer gets the next load notice.
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

/** Scheduler daemon: a candidate for the ownership of each shard of its data centre. */
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
  /** Workers of this data centre in the latest host list; undefined before the first one. */
  #workers: readonly HostRecord[] | undefined;
  #address = '';
  /** Sum of the configuration and key list revisions that were last applied to the shards. */
  #appliedRevisionSum = 0;
  #isStopping = false;

  /** @param runtime - runtime of the process */
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
    this.#listener = new LinkListener(
      runtime.hello,
      this.#linkHandler,
      runtime.connectionGuard.budgets.links,
      (reason) => {
        runtime.connectionGuard.reportLink(reason);
      },
      runtime.connectionGuard.turns,
    );
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
    const service = restana({
      server: this.#runtime.connectionGuard.createServer('health', 'service'),
    });
    addHealthRoutes(service, () => this.#isReady);
    await startHttpService(service, settings.http.port, settings.http.host);
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
      hasConfirmedClaim: () => this.#runners.some((runner) => runner.hasConfirmedClaim),
      isOwnerOf: (shard) => this.#candidates.get(shard)?.runner !== undefined,
      onIndex: (index) => {
        this.#applyTakeovers(index);
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
    return [...this.#candidates.values()].flatMap(({ runner }) =>
      runner === undefined ? [] : [runner],
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

  /**
   * Creates candidates for new shards of the data centre, and applies the policy and the keys to the owned shards.
   */
  #applyRevision(): void {
    const { configurationHolder, keyRing, settings } = this.#runtime;
    const { policy } = configurationHolder;
    if (policy === undefined) return;
    this.#appliedRevisionSum = configurationHolder.revision + keyRing.revision;
    for (const shard of policy.listShards(settings.dataCentre)) {
      if (this.#candidates.has(shard) || this.#isStopping) continue;
      const candidate = new ShardCandidate(
        {
          runtime: this.#runtime,
          gateway: this.#gateway,
          router: this.#router,
          readPolicy: () => configurationHolder.policy,
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
    for (const runner of this.#runners) {
      runner.applyPolicy(policy);
      runner.applyKeys(keyRing);
    }
    this.#sendLoad();
  }

  #applyTakeovers(index: TakeoverIndex): void {
    for (const [shard, candidate] of this.#candidates) {
      if (this.#takeoverCoordinator?.isTakeoverPending(shard) === true) candidate.stepDown();
      else candidate.runner?.applyTakeovers(index);
    }
  }

  #applyHosts(hosts: readonly HostRecord[]): void {
    const { dataCentre } = this.#runtime.settings;
    this.#workers = hosts.filter(
      (host) => host.role === 'worker' && host.dataCentre === dataCentre,
    );
    for (const runner of this.#runners) {
      const workers = this.#listWorkers(runner.shard.name);
      if (workers !== undefined) runner.applyHosts(workers);
    }
  }

  #listWorkers(shard: string): readonly HostRecord[] | undefined {
    const { configurationHolder, settings } = this.#runtime;
    const shards = configurationHolder.policy?.listShards(settings.dataCentre) ?? [];
    const position = shards.indexOf(shard);
    return this.#workers?.filter((_, index) => index % shards.length === position);
  }

  #listPeers(): readonly Link[] {
    const { dataCentre } = this.#runtime.settings;
    return this.#openLinks.filter(
      ({ peer, isClosed }) =>
        !isClosed && peer?.role === 'scheduler' && peer.dataCentre === dataCentre,
    );
  }

  #sendLoad(): void {
    const { clock, configurationHolder, keyRing, keyListAge, recorder, settings } = this.#runtime;
    const { ageMs } = keyListAge;
    const serving = this.#runners.filter((runner) => runner.isServing);
    const shards = serving.map((runner) => runner.shard.describeLoad());
    this.#router.applyLocalLoads(settings.process, shards);
    this.#loadNotifier.notifyPeers(
      this.#openLinks,
      clock.now(),
      {
        shards,
        configurationRevision: configurationHolder.revision,
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
    for (const runner of this.#runners) {
      runner.applyLoads(loads.filter(({ shard }) => shard !== runner.shard.name));
    }
  }

  #applyNotice(link: Link, body: NoticeBody): void {
    if (link.peer !== undefined) {
      const { process, dataCentre } = link.peer;
      if (body.notice === 'events') this.#runtime.eventArchive.add(process, dataCentre, body);
      else if (body.notice === 'load') this.#router.applyNotice(process, body);
    }
    if (body.notice !== 'load') return;
    this.#takeoverCoordinator?.applyNotice(link, body);
    void this.#peers?.applyRevisions(link, body).then(() => {
      this.#applyNewRevision();
    });
  }

  /** Applies a newer revision. It may also come from a dialled link, whose notices go to the peer set first. */
  #applyNewRevision(): void {
    const { configurationHolder, keyRing } = this.#runtime;
    if (configurationHolder.revision + keyRing.revision > this.#appliedRevisionSum)
      this.#applyRevision();
  }

  #handleCall(body: CallBody): Promise<ReplyBody> | ReplyBody {
    switch (body.call) {
      case 'submit': {
        if (body.stamp !== undefined) this.#runtime.recorder.observe(body.stamp);
        const runner = this.#candidates.get(body.shard)?.runner;
        return (
          runner?.submit(body) ?? createFailureReply('notOwner', `not the owner of ${body.shard}`)
        );
      }
      case 'wait': {
        const runner = this.#findRunner(body.requestId);
        const reply = runner?.wait(body.requestId, body.team, body.waitMs, body);
        return (
          reply ?? createFailureReply('notOwner', 'not the owner of the shard of this request')
        );
      }
      case 'cancel': {
        const runner = this.#findRunner(body.requestId);
        const reply = runner?.cancel(body.requestId, body.team);
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
          : createFailureReply('notOwner', 'this process does not accept the handover');
      case 'jobState':
      case 'queueDepth':
      case 'permits':
      case 'jobAccepted':
        return createFailureReply('notOwner', 'shard schedulers do not run jobs with steps');
    }
  }

  #findRunner(requestId: string): ShardRunner | undefined {
    const successor = this.#takeoverCoordinator?.index.findSuccessor(requestId);
    const runner = successor === undefined ? undefined : this.#candidates.get(successor)?.runner;
    if (runner !== undefined) return runner;
    return this.#candidates.get(requestId.split('.')[0] ?? '')?.runner;
  }

  #createStatusReply(): ReplyBody {
    const { settings, configurationHolder, keyRing, invariant } = this.#runtime;
    return {
      reply: 'status',
      status: {
        process: settings.process,
        role: 'scheduler',
        dataCentre: settings.dataCentre,
        ready: this.#isReady,
        configurationRevision: configurationHolder.revision,
        keysRevision: keyRing.revision,
        violations: invariant.violations,
        shards: this.#runners.map((runner) => runner.shard.describeStatus()),
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
