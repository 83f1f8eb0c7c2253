import { Router, TakeoverEditor, TakeoverSync } from '@toucanline/core';
import {
  addHealthRoutes,
  Daemon,
  EventTeller,
  PeerSet,
  type ProcessRuntime,
} from '@toucanline/runtime';
import type { NoticeBody, ReplyBody } from '@toucanline/schema';
import { LinkHandler, type Link } from '@toucanline/wire';
import restana from 'restana';
import { Authenticator } from './Authenticator.js';
import { ConfigurationRoutes } from './ConfigurationRoutes.js';
import { createOpenApi } from './createOpenApi.js';
import { createRoutes } from './createRoutes.js';
import { DataCentreRoutes } from './DataCentreRoutes.js';
import { HttpContext } from './HttpContext.js';
import { KeyRoutes } from './KeyRoutes.js';
import { OperatorRoutes } from './OperatorRoutes.js';
import { OwnerWait } from './OwnerWait.js';
import { RequestRoutes } from './RequestRoutes.js';
import { RequestService } from './RequestService.js';
import type { Route } from './Route.js';

const defaultDrainSeconds = 60;
/** Time for the load balancer to notice that the process is not ready, in milliseconds. */
const noticeMs = 500;
const pollMs = 50;

/** Passes the notices of schedulers to the router and to the record of takeovers, and keeps their events. */
class EntryLinks extends LinkHandler {
  readonly #router: Router;
  readonly #takeovers: TakeoverSync;
  readonly #archive: ProcessRuntime['archive'];

  public constructor(router: Router, takeovers: TakeoverSync, archive: ProcessRuntime['archive']) {
    super();
    this.#router = router;
    this.#takeovers = takeovers;
    this.#archive = archive;
  }

  public override handleOpen(): void {
    // Nothing to prepare: the scheduler tells its load at once.
  }

  public override handleCall(): Promise<ReplyBody> {
    const failure = { kind: 'notOwner', detail: 'an entry answers no calls' } as const;
    return Promise.resolve({ reply: 'failure', failure });
  }

  public override handleNotice(link: Link, body: NoticeBody): void {
    if (link.peer === undefined) return;
    const { process, dataCentre } = link.peer;
    if (body.notice === 'events') {
      this.#archive.add(process, dataCentre, body);
      return;
    }
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
  readonly #ownerWait: OwnerWait;
  readonly #events: EventTeller;
  readonly #groups: Parameters<typeof createRoutes>[0];
  readonly #service = restana({
    errorHandler: (error, _request, response) => {
      this.#runtime.log.write('error', 'unexpected error in a route', { detail: error.message });
      response.send({ title: 'internal', ran: 'unknown' }, 500);
    },
  });
  #inFlight = 0;
  #draining = false;
  #stopped = false;

  /** @param runtime - the process */
  public constructor(runtime: ProcessRuntime) {
    super();
    this.#runtime = runtime;
    const { clock, recorder, settings, keyRing, keysContact } = runtime;
    this.#router = new Router(clock, settings.dataCentre);
    this.#takeovers = new TakeoverSync({
      editor: new TakeoverEditor(runtime),
      clock,
      isWatcher: () => false,
      onChange: () => undefined,
    });
    this.#ownerWait = new OwnerWait(clock, this.#router, settings.dataCentre);
    const links = new EntryLinks(this.#router, this.#takeovers, runtime.archive);
    this.#peers = new PeerSet(runtime, links);
    this.#events = new EventTeller(runtime, () => this.#peers.links);
    const authenticator = new Authenticator(keyRing, keysContact, settings.operatorKeyHash);
    const service = new RequestService({
      clock,
      random: runtime.random,
      recorder,
      router: this.#router,
      peers: this.#peers,
      readTakeovers: () => this.#takeovers.current,
    });
    this.#groups = {
      requests: new RequestRoutes(runtime, authenticator, service),
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
    addHealthRoutes(this.#service, () => this.#isReady);
    this.#addRoutes();
  }

  /** {@inheritDoc Daemon.start} */
  public override async start(): Promise<void> {
    const { host, port } = this.#runtime.settings.http;
    this.#peers.start();
    this.#events.start();
    void this.#takeovers.run(() => !this.#stopped);
    this.#runtime.followRevisions(
      () => false,
      () => undefined,
    );
    await this.#service.start(port, host);
    this.#runtime.log.write('info', 'listening for HTTP', { address: `${host}:${port}` });
  }

  /** {@inheritDoc Daemon.drain} */
  public override async drain(): Promise<void> {
    const { clock, settings } = this.#runtime;
    this.#draining = true;
    await clock.sleep(noticeMs);
    const server = this.#service.getServer();
    const closed = this.#service.close();
    const endsAt = clock.now() + (settings.drainSeconds ?? defaultDrainSeconds) * 1000;
    while (this.#inFlight > 0 && clock.now() < endsAt) {
      server.closeIdleConnections();
      await clock.sleep(pollMs);
    }
    server.closeIdleConnections();
    this.#events.stop();
    await Promise.race([closed, clock.sleep(noticeMs)]);
    this.#stopped = true;
    this.#peers.stop();
  }

  /** Routes that the HTTP service knows, such as `GET/v1/status`. */
  public get routes(): readonly string[] {
    return this.#service.routes();
  }

  /** What `/openapi.json` answers. */
  public get openApi(): object {
    return createOpenApi(createRoutes(this.#groups));
  }

  get #isReady(): boolean {
    const { holder, keysContact } = this.#runtime;
    // Without a contact the keys are unknown, or too old for every queue.
    const knowsKeys = Number.isFinite(keysContact.ageMs);
    if (this.#draining || holder.policy === undefined || !knowsKeys) return false;
    return this.#ownerWait.isOver(holder.policy);
  }

  #addRoutes(): void {
    const routes = createRoutes(this.#groups);
    for (const { method, path, handle } of routes) {
      const pattern = path.replace(/\{(\w+)\}/g, ':$1');
      this.#service[method](pattern, this.#wrap(handle));
    }
    const document = this.openApi;
    this.#service.get('/openapi.json', (_request, response) => {
      response.send(document, 200);
    });
  }

  #wrap(handle: Route['handle']): RouteHandler {
    return async (request, response) => {
      this.#inFlight += 1;
      try {
        await handle(new HttpContext(request, response, () => this.#draining));
      } finally {
        this.#inFlight -= 1;
      }
    };
  }
}

/** Handler of a route. */
type RouteHandler = (
  request: HttpContext['request'],
  response: ConstructorParameters<typeof HttpContext>[1],
) => Promise<void>;
