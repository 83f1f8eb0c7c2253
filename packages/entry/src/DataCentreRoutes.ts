import {
  createFailure,
  listJournaledRequests,
  readJournal,
  TakeoverEditor,
  parseRecord,
  validateValue,
  type Policy,
  type Router,
  type TakeoverIndex,
} from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';
import {
  validators,
  type DataCentreView,
  type Failure,
  type LostShard,
  type OpenWork,
  type Resources,
} from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Authenticator } from './Authenticator.js';
import type { HttpContext } from './HttpContext.js';
import { readJsonBody } from './readJsonBody.js';

const maxBodyBytes = 16_384;
const maxAuthorLength = 256;
/** Maximum age of the last load notice of an owner that counts as reachable, in milliseconds. */
const maxLoadAgeMs = 5000;

/** HTTP routes of the operators' declarations that a data centre is lost or returned. */
export class DataCentreRoutes {
  readonly #runtime: ProcessRuntime;
  readonly #authenticator: Authenticator;
  readonly #router: Router;
  readonly #editor: TakeoverEditor;

  /**
   * @param runtime - runtime of the process
   * @param authenticator - authenticates operators
   * @param router - load notices that this entry has received from the owners of shards
   */
  public constructor(runtime: ProcessRuntime, authenticator: Authenticator, router: Router) {
    this.#runtime = runtime;
    this.#authenticator = authenticator;
    this.#router = router;
    this.#editor = new TakeoverEditor(runtime);
  }

  /**
   * Handles `GET /v1/datacentres/{name}`.
   *
   * @param context - the HTTP request and its response
   */
  public async read(context: HttpContext): Promise<void> {
    if (!this.#authenticator.authorize(context, 'read')) return;
    const view = await this.#describeDataCentre(context.request.params.name ?? '');
    if (view.isErr()) context.sendFailure(view.error);
    else context.sendJson(200, view.value);
  }

  /**
   * Handles `PUT /v1/datacentres/{name}`.
   *
   * @param context - the HTTP request and its response
   */
  public async declare(context: HttpContext): Promise<void> {
    const { settings, recorder } = this.#runtime;
    const role = settings.production === true ? 'promote' : 'change';
    const operator = this.#authenticator.authorize(context, role);
    if (operator === undefined) return;
    const name = context.request.params.name ?? '';
    const body = await readJsonBody(context.request, maxBodyBytes);
    const change = body.andThen((data) => validateValue(validators.DataCentreChange, data));
    if (change.isErr()) {
      context.sendFailure(change.error);
      return;
    }
    const view = await this.#describeDataCentre(name);
    const checked = view.andThen((current) => this.#checkSuccessors(change.value.state, current));
    if (checked.isErr()) {
      context.sendFailure(checked.error);
      return;
    }
    const suffix = ` (key ${operator.id})`;
    const author = change.value.author.slice(0, maxAuthorLength - suffix.length) + suffix;
    const declared = await this.#editor.declare(name, { ...change.value, author });
    if (declared.isErr()) {
      context.sendFailure(declared.error);
      return;
    }
    recorder.record('dataCentreDeclared', { detail: `${name} ${change.value.state} by ${author}` });
    const updated = await this.#describeDataCentre(name);
    if (updated.isErr()) context.sendFailure(updated.error);
    else context.sendJson(200, updated.value);
  }

  /** Checks that another data centre can take over the work; otherwise the declaration would only end it. */
  #checkSuccessors(
    state: 'lost' | 'returned',
    { successors }: DataCentreView,
  ): Result<void, Failure> {
    if (state === 'returned' || successors.length > 0) return ok(undefined);
    const detail = 'no other data centre has a shard with a reachable owner to take the work over';
    return err(createFailure('noOwner', detail));
  }

  async #describeDataCentre(name: string): Promise<Result<DataCentreView, Failure>> {
    const { policy } = this.#runtime.configurationHolder;
    if (policy === undefined) return err(createFailure('notReady', 'no configuration is known'));
    const shardNames = policy.listShards(name);
    if (shardNames.length === 0) {
      const dataCentres = new Set(policy.shards.map((shard) => policy.findDataCentre(shard) ?? ''));
      const detail = `data centre: found "${name}"; allowed: ${[...dataCentres].sort().join(', ')}`;
      return err(createFailure('malformedRequest', detail));
    }
    const index = await this.#editor.read();
    if (index.isErr()) return err(index.error);
    const allotments = await this.#readAllotments();
    if (allotments.isErr()) return err(allotments.error);
    const shards: LostShard[] = [];
    for (const shard of shardNames) {
      const described = await this.#describeShard(shard, index.value, allotments.value);
      if (described.isErr()) return err(described.error);
      shards.push(described.value);
    }
    const declaration = index.value.findDeclaration(name);
    return ok({
      dataCentre: name,
      generation: declaration?.generation ?? 0,
      ...(declaration === undefined ? {} : { declaration }),
      shards,
      successors: this.#listSuccessors(policy, name),
    });
  }

  #listSuccessors(policy: Policy, lostDataCentre: string): readonly string[] {
    return policy.shards.filter((shard) => {
      const isOther = policy.findDataCentre(shard) !== lostDataCentre;
      return isOther && this.#router.findLoad(shard, maxLoadAgeMs) !== undefined;
    });
  }

  async #readAllotments(): Promise<
    Result<Readonly<Record<string, Readonly<Record<string, Resources>>>>, Failure>
  > {
    const stored = await this.#runtime.store.read('allotments');
    if (stored.isErr()) return err(stored.error);
    if (stored.value.value === undefined) return ok({});
    return parseRecord(validators.Allotments, stored.value.value).map(({ teams }) => teams);
  }

  async #describeShard(
    shard: string,
    index: TakeoverIndex,
    teams: Readonly<Record<string, Readonly<Record<string, Resources>>>>,
  ): Promise<Result<LostShard, Failure>> {
    const { store } = this.#runtime;
    const claim = await store.read(`owners/${shard}`);
    if (claim.isErr()) return err(claim.error);
    const entries = await readJournal(store, shard);
    if (entries.isErr()) return err(entries.error);
    const work = new Map<string, OpenWork>();
    for (const { request, mayHaveStarted, isFinished } of listJournaledRequests(
      entries.value,
    ).values()) {
      const { id, queue, team, idempotent } = request;
      if (isFinished || index.isTakenOverFrom(id, shard)) continue;
      const groupKey = `${queue}\n${team}\n${idempotent}`;
      const group = work.get(groupKey) ?? { queue, team, idempotent, requests: 0, started: 0 };
      const started = group.started + (mayHaveStarted && !idempotent ? 1 : 0);
      work.set(groupKey, { ...group, requests: group.requests + 1, started });
    }
    const allotments: Record<string, Resources> = {};
    for (const [team, rows] of Object.entries(teams)) {
      const allotment = rows[shard];
      if (allotment !== undefined) allotments[team] = allotment;
    }
    const silenceMs = this.#router.findOwnerSilenceMs(shard);
    return ok({
      shard,
      claimed: claim.value.version !== 0,
      ...(silenceMs === undefined ? {} : { heardMs: silenceMs }),
      work: [...work.values()],
      allotments,
    });
  }
}
