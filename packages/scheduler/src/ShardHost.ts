import {
  AllotmentKeeper,
  Journal,
  Shard,
  type Effect,
  type KeyRing,
  type Policy,
  type WorkerGateway,
} from '@toucanline/core';
import type {
  Claim,
  Failure,
  HostRecord,
  ReplyBody,
  RequestView,
  ShardLoad,
  SubmitCall,
} from '@toucanline/schema';
import type { ProcessRuntime } from '@toucanline/runtime';
import type { Result } from 'neverthrow';
import { RequestWaiters } from './RequestWaiters.js';

const tickMs = 250;
const retryMs = 500;
/** Requests started before the loop serves other events. */
const maxStartsPerTurn = 100;

/** Runs the decisions of one shard under one ownership: executes effects, polls workers, keeps time. */
export class ShardHost {
  readonly #runtime: ProcessRuntime;
  readonly #gateway: WorkerGateway;
  readonly #shard: Shard;
  readonly #journal: Journal;
  readonly #allotments: AllotmentKeeper;
  readonly #waiters = new RequestWaiters();
  readonly #onLost: (detail: string) => void;
  #active = true;
  #pumping = false;

  /**
   * @param runtime - the process
   * @param gateway - access to the workers
   * @param claim - the claim on the shard
   * @param policy - policy in effect
   * @param onLost - called once a worker proves that another owner took over
   */
  public constructor(
    runtime: ProcessRuntime,
    gateway: WorkerGateway,
    claim: Claim,
    policy: Policy,
    onLost: (detail: string) => void,
  ) {
    this.#runtime = runtime;
    this.#gateway = gateway;
    this.#onLost = onLost;
    const { clock, random, recorder, invariant, settings, store } = runtime;
    const { shard, epoch, owner, address } = claim;
    const { dataCentre } = settings;
    this.#shard = new Shard(
      { shard, dataCentre, epoch, owner, provisional: false, clock, random, recorder, invariant },
      address,
      policy,
    );
    this.#allotments = new AllotmentKeeper(
      {
        store,
        clock,
        random,
        recorder,
        invariant,
        readLoad: () => this.#shard.describeLoad(),
        isRecovered: () => this.#shard.isRecovered,
        onChange: (spendable, lowered) => {
          this.#shard.applyAllotments(spendable, lowered);
          this.#pump();
        },
      },
      shard,
      epoch,
      policy,
      runtime.holder.revision,
    );
    this.#journal = new Journal(store, clock, random, shard, epoch);
  }

  /** The decisions. */
  public get shard(): Shard {
    return this.#shard;
  }

  /**
   * Loads the journal and starts to serve.
   *
   * @returns once requests may be submitted
   */
  public async start(): Promise<void> {
    while (this.#active) {
      const opened = await this.#journal.open();
      if (opened.isOk()) {
        this.#shard.loadJournal(opened.value);
        break;
      }
      this.#runtime.log.write('warn', 'cannot open the journal', { detail: opened.error.detail });
      await this.#runtime.clock.sleep(retryMs);
    }
    void this.#keepTime();
    void this.#allotments.run(() => this.#active);
  }

  /** Ends this ownership: nothing is sent to workers any more. */
  public stop(): void {
    this.#active = false;
    this.#waiters.notifyAll();
  }

  /**
   * Applies a new policy.
   *
   * @param policy - policy in effect
   */
  public applyPolicy(policy: Policy): void {
    this.#shard.applyPolicy(policy);
    this.#allotments.applyPolicy(policy, this.#runtime.holder.revision);
    this.#pump();
  }

  /**
   * Applies a new list of keys.
   *
   * @param keyRing - keys in effect
   */
  public applyKeys(keyRing: KeyRing): void {
    this.#shard.applyKeys(keyRing);
    this.#pump();
  }

  /**
   * Applies the host list.
   *
   * @param hosts - workers of the shard
   */
  public applyHosts(hosts: readonly HostRecord[]): void {
    this.#shard.applyHosts(hosts);
    this.#pump();
  }

  /**
   * Applies what other owners told.
   *
   * @param loads - loads of other shards
   */
  public applyLoads(loads: readonly ShardLoad[]): void {
    this.#shard.applyLoads(loads);
    this.#allotments.applyLoads(loads);
  }

  /**
   * Takes a request; a journaled one is answered after its commit.
   *
   * @param call - the request
   * @returns its state, or the failure
   */
  public async submit(call: SubmitCall): Promise<ReplyBody> {
    const result = this.#shard.submit(call);
    this.#pump();
    if (result.isErr()) return { reply: 'failure', failure: result.error };
    const { id, team } = result.value;
    while (this.#active && this.#shard.isCommitting(id)) await this.#waiters.wait(id, tickMs);
    return this.#reply(this.#shard.read(id, team));
  }

  /**
   * Waits until a request is answered.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @param waitMs - longest wait in milliseconds
   * @returns its state, or the failure
   */
  public async wait(
    requestId: string,
    team: string | undefined,
    waitMs: number,
  ): Promise<ReplyBody> {
    const isDone = (): boolean => !this.#active || this.#shard.isSettled(requestId);
    await this.#waiters.waitUntil(requestId, waitMs, isDone);
    return this.#reply(this.#shard.read(requestId, team));
  }

  /**
   * Cancels a request.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @returns its state, or the failure
   */
  public cancel(requestId: string, team: string | undefined): ReplyBody {
    const result = this.#shard.cancel(requestId, team);
    this.#pump();
    return this.#reply(result);
  }

  /**
   * Starts or ends an operator's drain of a worker.
   *
   * @param worker - name of the worker
   * @param drained - whether it shall take no new work
   * @returns done, or the failure
   */
  public drain(worker: string, drained: boolean): ReplyBody {
    const result = this.#shard.drain(worker, drained);
    this.#pump();
    return result.isOk() ? { reply: 'done' } : { reply: 'failure', failure: result.error };
  }

  /** A method, because the compiler would take a field as unchanged over an await. */
  #isActive(): boolean {
    return this.#active;
  }

  #reply(result: Result<RequestView, Failure>): ReplyBody {
    if (!this.#active) {
      const detail = `the shard ${this.#shard.name} has another owner`;
      return { reply: 'failure', failure: { kind: 'linkLost', detail } };
    }
    if (result.isErr()) return { reply: 'failure', failure: result.error };
    return { reply: 'view', view: result.value, epoch: this.#shard.epoch };
  }

  async #keepTime(): Promise<void> {
    while (this.#active) {
      this.#shard.tick();
      this.#pump();
      await this.#runtime.clock.sleep(tickMs);
    }
  }

  /** Decides and executes the effects; goes on in a later turn of the loop if more can start. */
  #pump(): void {
    if (!this.#active || this.#pumping) return;
    this.#pumping = true;
    const hasMore = this.#shard.dispatch(maxStartsPerTurn);
    for (const effect of this.#shard.takeEffects()) this.#execute(effect);
    this.#pumping = false;
    if (hasMore) {
      setImmediate(() => {
        this.#pump();
      });
    }
  }

  #execute(effect: Effect): void {
    switch (effect.effect) {
      case 'start':
        void this.#sendStart(effect);
        break;
      case 'command':
        void this.#gateway.command(effect.address, effect.command);
        break;
      case 'commit':
        void this.#commit(effect);
        break;
      case 'changed':
        this.#waiters.notify(effect.requestId);
        break;
      case 'poll':
        void this.#pollWorker(effect.worker);
        break;
      case 'standDown':
        if (this.#active) this.#onLost(effect.detail);
        break;
    }
  }

  async #sendStart({ address, start }: Extract<Effect, { effect: 'start' }>): Promise<void> {
    const response = await this.#gateway.start(address, start);
    if (!this.#active) return;
    const { request, index, taskId } = start.assignment;
    const outcome = response.isOk() ? undefined : response.error;
    this.#shard.applyStartResponse(request.id, index, taskId, outcome);
    this.#pump();
  }

  async #commit({ ticket, entry }: Extract<Effect, { effect: 'commit' }>): Promise<void> {
    const result = await this.#journal.append(entry);
    if (!this.#active) return;
    this.#shard.confirmCommit(ticket, result.isErr() ? result.error : undefined);
    this.#pump();
  }

  /** One poll at a time per worker, as long as the worker belongs to the fleet. */
  async #pollWorker(worker: string): Promise<void> {
    while (this.#isActive()) {
      const next = this.#shard.createRenewal(worker);
      if (next === undefined) return;
      const sentAt = this.#runtime.clock.now();
      const response = await this.#gateway.renew(next.address, next.renewal);
      if (!this.#isActive()) return;
      if (response.isOk()) this.#shard.applyReport(worker, response.value, sentAt);
      else {
        if ('refusal' in response.error) this.#shard.applyRefusal(worker, response.error);
        await this.#runtime.clock.sleep(retryMs);
      }
      this.#pump();
    }
  }
}
