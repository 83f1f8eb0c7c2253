import { createFailure, mergeEvents, type Router } from '@toucanline/core';
import type { PeerSet, ProcessRuntime } from '@toucanline/runtime';
import type { ProcessStatus, ReplyBody, SiteStatus } from '@toucanline/schema';
import type { Authenticator } from './Authenticator.js';
import type { HttpContext } from './HttpContext.js';
import { DrainCoordinator } from './DrainCoordinator.js';

const callTimeoutMs = 2000;
const defaultHistoryMs = 300_000;

/** HTTP routes of operators: status, events and drains. */
export class OperatorRoutes {
  readonly #runtime: ProcessRuntime;
  readonly #authenticator: Authenticator;
  readonly #peers: PeerSet;
  readonly #drainCoordinator: DrainCoordinator;
  readonly #isReady: () => boolean;

  /**
   * @param runtime - runtime of the process
   * @param authenticator - authenticates operators
   * @param peers - links to the schedulers
   * @param router - finds the owners of the shards
   * @param isReady - returns whether this process is ready
   */
  public constructor(
    runtime: ProcessRuntime,
    authenticator: Authenticator,
    peers: PeerSet,
    router: Router,
    isReady: () => boolean,
  ) {
    this.#runtime = runtime;
    this.#authenticator = authenticator;
    this.#peers = peers;
    this.#isReady = isReady;
    this.#drainCoordinator = new DrainCoordinator({
      clock: runtime.clock,
      router,
      peers,
      listShards: () => runtime.configurationHolder.policy?.shards ?? [],
    });
  }

  /**
   * Handles `GET /v1/status`.
   *
   * @param context - the HTTP request and its response
   */
  public async readStatus(context: HttpContext): Promise<void> {
    const key = this.#authenticator.requireRole(context.request, 'read');
    if (key.isErr()) {
      context.sendFailure(key.error);
      return;
    }
    const replies = await this.#callAllPeers({ call: 'status' });
    const processes = replies.flatMap((reply) => (reply.reply === 'status' ? [reply.status] : []));
    const status: SiteStatus = {
      processes: [this.#describeSelf(), ...processes],
      unreachable: this.#peers.unreachable,
    };
    context.sendJson(200, status);
  }

  /**
   * Handles `GET /v1/events`.
   *
   * @param context - the HTTP request and its response
   */
  public async readEvents(context: HttpContext): Promise<void> {
    const key = this.#authenticator.requireRole(context.request, 'read');
    if (key.isErr()) {
      context.sendFailure(key.error);
      return;
    }
    const { clock } = this.#runtime;
    const { since, request } = context.request.query;
    const sinceMs = since === undefined ? clock.wallTime() - defaultHistoryMs : Number(since);
    if (!Number.isFinite(sinceMs)) {
      context.sendFailure(createFailure('malformedRequest', 'since: allowed: milliseconds'));
      return;
    }
    const requestId = typeof request === 'string' ? request : undefined;
    const call = {
      call: 'events',
      sinceMs,
      ...(requestId === undefined ? {} : { requestId }),
    } as const;
    const replies = await this.#callAllPeers(call);
    const lists = replies.flatMap((reply) => (reply.reply === 'events' ? [reply.events] : []));
    const events = mergeEvents([this.#runtime.listEvents(sinceMs, requestId), ...lists]);
    context.sendJson(200, { events });
  }

  /**
   * Handles `POST` and `DELETE /v1/workers/{worker}/drain`.
   *
   * @param context - the HTTP request and its response
   * @param drained - true if the worker shall receive no new work
   */
  public async drain(context: HttpContext, drained: boolean): Promise<void> {
    const key = this.#authenticator.requireRole(context.request, 'change');
    if (key.isErr()) {
      context.sendFailure(key.error);
      return;
    }
    const worker = context.request.params.worker ?? '';
    const state = await this.#drainCoordinator.setDrained(worker, drained);
    if (state.isOk()) context.sendJson(200, state.value);
    else context.sendFailure(state.error);
  }

  #describeSelf(): ProcessStatus {
    const { settings, configurationHolder, keyRing, invariant } = this.#runtime;
    return {
      process: settings.process,
      role: 'entry',
      dataCentre: settings.dataCentre,
      ready: this.#isReady(),
      configurationRevision: configurationHolder.revision,
      keysRevision: keyRing.revision,
      violations: invariant.violations,
      shards: [],
    };
  }

  async #callAllPeers(
    body: Parameters<PeerSet['links'][number]['call']>[0],
  ): Promise<readonly ReplyBody[]> {
    const results = await Promise.all(
      this.#peers.links.map((link) => link.call(body, callTimeoutMs)),
    );
    return results.flatMap((result) => (result.isOk() ? [result.value] : []));
  }
}
