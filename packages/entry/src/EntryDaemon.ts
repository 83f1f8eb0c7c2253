import { Router, TakeoverEditor, TakeoverSync } from '@toucanline/core';
import {
  addHealthRoutes,
  Daemon,
  EventReplicator,
  PeerSet,
  type ProcessRuntime,
  startHttpService,
} from '@toucanline/runtime';
import type { NoticeBody, ReplyBody } from '@toucanline/schema';
import { LinkHandler, type Link } from '@toucanline/wire';
import restana, { type Protocol, type Service } from 'restana';
import { Authenticator } from './Authenticator.js';
import { ConfigurationRoutes } from './ConfigurationRoutes.js';
import { createOpenApi } from './createOpenApi.js';
import { createRoutes } from './createRoutes.js';
import { DataCentreRoutes } from './DataCentreRoutes.js';
import { HttpContext } from './HttpContext.js';
import { KeyRoutes } from './KeyRoutes.js';
import { OperatorRoutes } from './OperatorRoutes.js';
import { OwnerDiscovery } from './OwnerDiscovery.js';
import { RequestRoutes } from './RequestRoutes.js';
import { RequestService } from './RequestService.js';
import type { Route } from './Route.js';

const defaultDrainSeconds = 60;
/** Time for the load balancer to detect that the process is not ready, in milliseconds. */
const loadBalancerDelayMs = 500;
const drainPollMs = 50;

/** Passes the notices of schedulers to the router and to the record of takeovers, and archives their events. */
class EntryLinkHandler extends LinkHandler {
  readonly #router: Router;
  readonly #takeovers: TakeoverSync;
  readonly #archive: ProcessRuntime['eventArchive'];

  public constructor(
    router: Router,
    takeovers: TakeoverSync,
    archive: ProcessRuntime['eventArchive'],
  ) {
    super();
    this.#router = router;
    this.#takeovers = takeovers;
    this.#archive = archive;
  }

  public override handleOpen(): void {
    // Nothing to prepare: the scheduler announces its load as soon as the link is open.
  }

  public override handleCall(): Promise<ReplyBody> {
    const failure = { kind: 'notOwner', detail: 'an entry does not accept calls' } as const;
    return Promise.resolve({ reply: 'failure', failure });
  }

  public override handleNotice(link: Link, body: NoticeBody): void {
    if (link.peer === undefined) return;
    const { process, dataCentre } = link.peer;
    if (body.notice === 'events') {
      this.#archive.add(process, dataCentre, body);
      return;
    }
    if (body.notice !== 'load') return;
    this.#router.applyNotice(process, body);
    const { takeovers } = body;
    if (takeovers === undefined) return;
    this.#takeovers.applyAnnouncement(process, takeovers, () => !link.isClosed);
  }

  public override handleActivity(link: Link): void {
    if (link.peer !== undefined) this.#router.markAlive(link.peer.process);
  }

  public override handleClose(): void {
    // The dialer reconnects.
  }
}

/** The entry daemon: HTTP front end for callers and operators. */
export class EntryDaemon extends Daemon {
  readonly #runtime: ProcessRuntime;
  readonly #router: Router;
  readonly #peers: PeerSet;
  readonly #takeovers: TakeoverSync;
  readonly #ownerDiscovery: OwnerDiscovery;
  readonly #eventReplicator: EventReplicator;
  readonly #routeGroups: Parameters<typeof createRoutes>[0];
  readonly #httpService: Service<Protocol.HTTP>;
  #inFlightCount = 0;
  #isDraining = false;
  #isStopped = false;

  /** @param runtime - runtime of the process */
  public constructor(runtime: ProcessRuntime) {
    super();
    this.#runtime = runtime;
    const { clock, recorder, settings, keyRing, keyListAge } = runtime;
    this.#httpService = restana({
      server: runtime.connectionGuard.createServer('callers', 'callers'),
      errorHandler: (error, _request, response) => {
        runtime.log.write('error', 'unexpected error in a route', { detail: error.message });
        response.send({ title: 'internal', ran: 'unknown' }, 500);
      },
    });
    this.#router = new Router(clock, settings.dataCentre);
    this.#takeovers = new TakeoverSync({
      editor: new TakeoverEditor(runtime),
      clock,
      isWatcher: () => false,
      onChange: () => undefined,
    });
    this.#ownerDiscovery = new OwnerDiscovery(clock, this.#router, settings.dataCentre);
    const linkHandler = new EntryLinkHandler(this.#router, this.#takeovers, runtime.eventArchive);
    this.#peers = new PeerSet(runtime, linkHandler);
    this.#eventReplicator = new EventReplicator(runtime, () => this.#peers.links);
    const authenticator = new Authenticator(keyRing, keyListAge, settings.operatorKeyHash);
    const requestService = new RequestService({
      clock,
      random: runtime.random,
      recorder,
      router: this.#router,
      peers: this.#peers,
      readTakeovers: () => this.#takeovers.current,
    });
    this.#routeGroups = {
      requests: new RequestRoutes(runtime, authenticator, requestService),
      operators: new OperatorRoutes(
        runtime,
        authenticator,
        this.#peers,
        this.#router,
        () => this.#isReady,
      ),
      configuration: new ConfigurationRoutes(runtime, authenticator),
      keys: new KeyRoutes(runtime, authenticator),
      dataCentres: new DataCentreRoutes(runtime, authenticator, this.#router),
    };
    addHealthRoutes(this.#httpService, () => this.#isReady);
    this.#addRoutes();
  }

  /** {@inheritDoc Daemon.start} */
  public override async start(): Promise<void> {
    const { host, port } = this.#runtime.settings.http;
    this.#peers.start();
    this.#eventReplicator.start();
    void this.#takeovers.run(() => !this.#isStopped);
    this.#runtime.followRevisions(
      () => false,
      () => undefined,
    );
    await startHttpService(this.#httpService, port, host);
    this.#runtime.log.write('info', 'listening for HTTP', { address: `${host}:${port}` });
  }

  /** {@inheritDoc Daemon.drain} */
  public override async drain(): Promise<void> {
    const { clock, settings } = this.#runtime;
    this.#isDraining = true;
    await clock.sleep(loadBalancerDelayMs);
    const server = this.#httpService.getServer();
    const closed = this.#httpService.close();
    const endsAt = clock.now() + (settings.drainSeconds ?? defaultDrainSeconds) * 1000;
    while (this.#inFlightCount > 0 && clock.now() < endsAt) {
      server.closeIdleConnections();
      await clock.sleep(drainPollMs);
    }
    server.closeIdleConnections();
    this.#eventReplicator.stop();
    await Promise.race([closed, clock.sleep(loadBalancerDelayMs)]);
    this.#isStopped = true;
    this.#peers.stop();
  }

  /** Routes of the HTTP service as method and path, such as `GET/v1/status`. */
  public get routes(): readonly string[] {
    return this.#httpService.routes();
  }

  /** OpenAPI document, as `/openapi.json` returns it. */
  public get openApi(): object {
    return createOpenApi(createRoutes(this.#routeGroups));
  }

  get #isReady(): boolean {
    const { configurationHolder, keyListAge } = this.#runtime;
    // Without a confirmed age, the key list is unknown or too old for every queue.
    const hasKeyListAge = Number.isFinite(keyListAge.ageMs);
    if (this.#isDraining || configurationHolder.policy === undefined || !hasKeyListAge)
      return false;
    return this.#ownerDiscovery.isComplete(configurationHolder.policy);
  }

  #addRoutes(): void {
    const routes = createRoutes(this.#routeGroups);
    for (const { method, path, handle } of routes) {
      const pattern = path.replace(/\{(\w+)\}/g, ':$1');
      this.#httpService[method](pattern, this.#createHandler(handle));
    }
    const document = this.openApi;
    this.#httpService.get('/openapi.json', (_request, response) => {
      response.send(document, 200);
    });
  }

  #createHandler(handle: Route['handle']): RouteHandler {
    return async (request, response) => {
      this.#inFlightCount += 1;
      try {
        await handle(new HttpContext(request, response, () => this.#isDraining));
      } finally {
        this.#inFlightCount -= 1;
      }
    };
  }
}

/** Request handler of a route, as the HTTP service calls it. */
type RouteHandler = (
  request: HttpContext['request'],
  response: ConstructorParameters<typeof HttpContext>[1],
) => Promise<void>;
