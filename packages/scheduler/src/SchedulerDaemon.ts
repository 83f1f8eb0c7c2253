import { createFailure, truncateEvents, Router, type TakeoverIndex } from '@toucanline/core';
import { HttpWorkerGateway } from '@toucanline/clients';
import {
  addHealthRoutes,
  Daemon,
  EventTeller,
  PeerSet,
  type ProcessRuntime,
} from '@toucanline/runtime';
import type { CallBody, HostRecord, NoticeBody, ReplyBody } from '@toucanline/schema';
import { LinkHandler, LinkListener, type Link } from '@toucanline/wire';
import restana from 'restana';
import { LoadTeller } from './LoadTeller.js';
import { ShardBalancer } from './ShardBalancer.js';
import { ShardCandidate } from './ShardCandidate.js';
import type { ShardHost } from './ShardHost.js';
import { TakeoverRunner } from './TakeoverRunner.js';

const loadNoticeMs = 500;
const balanceMs = 1000;
/** Time for the last replies to leave before the links close. */
const flushMs = 100;

const fail = (kind: Parameters<typeof createFailure>[0], detail: string): ReplyBody => ({
  reply: 'failure',
  failure: createFailure(kind, detail),
});

/** Passes the messages of links to the daemon. */
class SchedulerLinks extends LinkHandler {
  readonly #onCall: (body: CallBody) => Promise<ReplyBody> | ReplyBody;
  readonly #onNotice: (link: Link, body: NoticeBody) => void;

  readonly #onAlive: (process: string) => void;

  public constructor(
    onCall: (body: CallBody) => Promise<ReplyBody> | ReplyBody,
    onNotice: (link: Link, body: NoticeBody) => void,
    onAlive: (process: string) => void,
  ) {
    super();
    this.#onAlive = onAlive;
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
    if (link.peer !== undefined) this.#onAlive(link.peer.process);
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
  readonly #links: SchedulerLinks;
  readonly #teller: LoadTeller;
  readonly #events: EventTeller;
  readonly #balancer: ShardBalancer;
  readonly #listener: LinkListener;
  readonly #candidates = new Map<string, ShardCandidate>();
  #peers: PeerSet | undefined;
  #takeovers: TakeoverRunner | undefined;
  /** Workers of this data centre in the last host list that was read. */
  #workers: readonly HostRecord[] | undefined;
  #address = '';
  /** Sum of the revisions that the shards know. */
  #applied = 0;
  #stopping = false;

  /** @param runtime - the process */
  public constructor(runtime: ProcessRuntime) {
    super();
    this.#runtime = runtime;
    this.#router = new Router(runtime.clock, runtime.settings.dataCentre);
    this.#links = new SchedulerLinks(
      (body) => this.#answer(body),
      (link, body) => {
        this.#applyNotice(link, body);
      },
      (process) => {
        this.#router.markAlive(process);
      },
    );
    this.#teller = new LoadTeller(runtime.settings.dataCentre);
    this.#events = new EventTeller(runtime, () => this.#openLinks);
    this.#balancer = new ShardBalancer({
      clock: runtime.clock,
      process: runtime.settings.process,
      router: this.#router,
      listShards: () => runtime.holder.policy?.listShards(runtime.settings.dataCentre) ?? [],
      listPeers: () => this.#listPeers(),
      findCandidate: (shard) => this.#candidates.get(shard),
    });
    this.#listener = new LinkListener(runtime.hello, this.#links);
  }

  /** {@inheritDoc Daemon.start} */
  public override async start(): Promise<void> {
    const { settings } = this.#runtime;
    const { host, port } = settings.link ?? { host: settings.http.host, port: 0 };
    const bound = await this.#listener.listen(host, port);
    this.#address = settings.linkAddress ?? bound;
    this.#peers = new PeerSet(this.#runtime, this.#links, this.#address, (hosts) => {
      this.#applyHosts(hosts);
    });
    this.#peers.start();
    this.#events.start();
    const service = restana();
    addHealthRoutes(service, () => this.#isReady);
    await service.start(settings.http.port, settings.http.host);
    this.#runtime.followRevisions(
      () => this.#hosts.length > 0,
      () => {
        this.#applyRevision();
      },
    );
    void this.#repeat(loadNoticeMs, () => {
      this.#applyNewRevision();
      this.#tellLoad();
    });
    void this.#repeat(balanceMs, () => {
      void this.#balancer.step();
    });
    this.#takeovers = new TakeoverRunner({
      runtime: this.#runtime,
      router: this.#router,
      address: this.#address,
      readPolicy: () => this.#runtime.holder.policy,
      isConnected: () => this.#hosts.some((host) => host.isConnected),
      owns: (shard) => this.#candidates.get(shard)?.host !== undefined,
      onBook: (book) => {
        this.#applyTakeovers(book);
      },
    });
    void this.#takeovers.run(() => !this.#stopping);
    this.#runtime.log.write('info', 'listening for links', { address: this.#address });
  }

  /** {@inheritDoc Daemon.drain} */
  public override async drain(): Promise<void> {
    this.#stopping = true;
    await Promise.all([...this.#candidates.values()].map((candidate) => candidate.stop()));
    this.#events.stop();
    await this.#runtime.clock.sleep(flushMs);
    this.#peers?.stop();
    this.#listener.close();
    await this.#gateway.close();
  }

  get #isReady(): boolean {
    return !this.#stopping && this.#runtime.holder.policy !== undefined;
  }

  get #hosts(): readonly ShardHost[] {
    return [...this.#candidates.values()].flatMap(({ host }) => (host === undefined ? [] : [host]));
  }

  get #openLinks(): readonly Link[] {
    return [...(this.#peers?.links ?? []), ...this.#listener.links];
  }

  async #repeat(periodMs: number, action: () => void): Promise<void> {
    while (!this.#stopping) {
      action();
      await this.#runtime.clock.sleep(periodMs);
    }
  }

  /** Becomes a candidate for new shards of the data centre and passes the policy on. */
  #applyRevision(): void {
    const { holder, keyRing, settings } = this.#runtime;
    const { policy } = holder;
    if (policy === undefined) return;
    this.#applied = holder.revision + keyRing.revision;
    for (const shard of policy.listShards(settings.dataCentre)) {
      if (this.#candidates.has(shard) || this.#stopping) continue;
      const candidate = new ShardCandidate(
        {
          runtime: this.#runtime,
          gateway: this.#gateway,
          router: this.#router,
          readPolicy: () => holder.policy,
          readWorkers: () => this.#listWorkers(shard),
          listPeers: () => this.#listPeers(),
          mustYield: () => this.#takeovers?.mustYield(shard) ?? false,
          onChange: () => {
            this.#tellLoad();
          },
        },
        shard,
        this.#address,
      );
      this.#candidates.set(shard, candidate);
      void candidate.run();
    }
    for (const host of this.#hosts) {
      host.applyPolicy(policy);
      host.applyKeys(keyRing);
    }
    this.#tellLoad();
  }

  #applyTakeovers(book: TakeoverIndex): void {
    for (const [shard, candidate] of this.#candidates) {
      if (this.#takeovers?.mustYield(shard) === true) candidate.yield();
      else candidate.host?.applyTakeovers(book);
    }
  }

  #applyHosts(hosts: readonly HostRecord[]): void {
    const { dataCentre } = this.#runtime.settings;
    this.#workers = hosts.filter(
      (host) => host.role === 'worker' && host.dataCentre === dataCentre,
    );
    for (const host of this.#hosts) {
      const workers = this.#listWorkers(host.shard.name);
      if (workers !== undefined) host.applyHosts(workers);
    }
  }

  #listWorkers(shard: string): readonly HostRecord[] | undefined {
    const { holder, settings } = this.#runtime;
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

  #tellLoad(): void {
    const { clock, holder, keyRing, keysContact, recorder, settings } = this.#runtime;
    const { ageMs } = keysContact;
    const serving = this.#hosts.filter((host) => host.isServing);
    const shards = serving.map((host) => host.shard.describeLoad());
    this.#router.applyLocalLoads(settings.process, shards);
    this.#teller.tell(
      this.#openLinks,
      clock.now(),
      {
        shards,
        configurationRevision: holder.revision,
        keysRevision: keyRing.revision,
        takeovers: this.#takeovers?.told ?? { version: 0, watched: false },
      },
      { stamp: recorder.stamp(), ...(Number.isFinite(ageMs) ? { keysAgeMs: ageMs } : {}) },
    );
    this.#passLoads();
  }

  #passLoads(): void {
    const names = this.#runtime.holder.policy?.shards ?? [];
    const loads = names.flatMap((name) => this.#router.findLoad(name) ?? []);
    for (const host of this.#hosts) {
      host.applyLoads(loads.filter(({ shard }) => shard !== host.shard.name));
    }
  }

  #applyNotice(link: Link, body: NoticeBody): void {
    if (link.peer !== undefined) {
      const { process, dataCentre } = link.peer;
      if (body.notice === 'events') this.#runtime.archive.add(process, dataCentre, body);
      else this.#router.applyNotice(process, body);
    }
    if (body.notice === 'events') return;
    this.#takeovers?.applyNotice(link, body);
    void this.#peers?.learnRevisions(link, body).then(() => {
      this.#applyNewRevision();
    });
  }

  /** A revision may also have been learned by a dialled link, whose notices pass the peer set first. */
  #applyNewRevision(): void {
    const { holder, keyRing } = this.#runtime;
    if (holder.revision + keyRing.revision > this.#applied) this.#applyRevision();
  }

  #answer(body: CallBody): Promise<ReplyBody> | ReplyBody {
    switch (body.call) {
      case 'submit': {
        if (body.stamp !== undefined) this.#runtime.recorder.observe(body.stamp);
        const host = this.#candidates.get(body.shard)?.host;
        return host?.submit(body) ?? fail('notOwner', `not the owner of ${body.shard}`);
      }
      case 'wait': {
        const host = this.#findHost(body.requestId);
        const waiting = host?.wait(body.requestId, body.team, body.waitMs, body);
        return waiting ?? fail('notOwner', 'not the owner of the shard of this request');
      }
      case 'cancel': {
        const host = this.#findHost(body.requestId);
        const reply = host?.cancel(body.requestId, body.team);
        return reply ?? fail('notOwner', 'not the owner of the shard of this request');
      }
      case 'status':
        return this.#describeStatus();
      case 'events':
        return {
          reply: 'events',
          events: truncateEvents(this.#runtime.listEvents(body.sinceMs, body.requestId)),
        };
      case 'configuration':
        return this.#describeConfiguration(body.configurationRevision, body.keysRevision);
      case 'drain':
        return (
          this.#candidates.get(body.shard)?.host?.drain(body.worker, body.drained) ??
          fail('notOwner', `not the owner of ${body.shard}`)
        );
      case 'handover':
        return this.#candidates.get(body.snapshot.shard)?.acceptHandover(body) === true
          ? { reply: 'done' }
          : fail('notOwner', 'the handover is not accepted');
      case 'jobState':
      case 'queueDepth':
      case 'permits':
      case 'jobAccepted':
        return fail('notOwner', 'schedulers of shards hold no jobs of steps');
    }
  }

  #findHost(requestId: string): ShardHost | undefined {
    const successor = this.#takeovers?.book.findSuccessor(requestId);
    const host = successor === undefined ? undefined : this.#candidates.get(successor)?.host;
    if (host !== undefined) return host;
    return this.#candidates.get(requestId.split('.')[0] ?? '')?.host;
  }

  #describeStatus(): ReplyBody {
    const { settings, holder, keyRing, invariant } = this.#runtime;
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
        shards: this.#hosts.map((host) => host.shard.describeStatus()),
      },
    };
  }

  #describeConfiguration(configurationRevision: number, keysRevision: number): ReplyBody {
    const { configuration } = this.#runtime.holder;
    const { list } = this.#runtime.keyRing;
    const { ageMs } = this.#runtime.keysContact;
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
