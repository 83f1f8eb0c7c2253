import type { Effect, Shard } from '@toucanline/core';
import type { OwnershipPhase } from './OwnershipPhase.js';
import type { CallHandler } from './CallHandler.js';
import type { ShardJournal } from './ShardJournal.js';
import type { WorkerCalls } from './WorkerCalls.js';

/** Maximum number of requests that are started in one turn of the event loop. */
const maxStartsPerTurn = 100;

/** Dependencies of the effect runner. */
interface EffectDependencies {
  readonly shard: Shard;
  readonly phase: OwnershipPhase;
  readonly workers: WorkerCalls;
  readonly journal: ShardJournal;
  readonly calls: CallHandler;
  /** Local monotonic time before which no task is started, in milliseconds. */
  readonly earliestStartAt: number;
  readonly now: () => number;
  /** Called before each dispatch. */
  readonly prepareDispatch: () => void;
  /** Called once a worker shows that it accepted another owner, with the reason and the epoch of that owner. */
  readonly onLost: (detail: string, epoch: number) => void;
}

/** Dispatches the requests of a shard, and executes the effects of its decisions. */
export class EffectRunner {
  readonly #dependencies: EffectDependencies;
  #isRunning = false;

  /** @param dependencies - shard and components that execute its effects */
  public constructor(dependencies: EffectDependencies) {
    this.#dependencies = dependencies;
  }

  /** Dispatches and executes the effects; continues in a later turn of the event loop if more requests can start. */
  public run(): void {
    const { shard, phase, prepareDispatch } = this.#dependencies;
    if (!phase.canAct || this.#isRunning) return;
    prepareDispatch();
    this.#isRunning = true;
    let hasMore = false;
    try {
      hasMore = this.#canStartTasks && shard.dispatch(maxStartsPerTurn, phase.isClaimConfirmed);
      for (const effect of shard.takeEffects()) this.#execute(effect);
    } finally {
      this.#isRunning = false;
    }
    if (hasMore) {
      setImmediate(() => {
        this.run();
      });
    }
  }

  /** Whether tasks may be started; without a confirmed store lease, that requires a majority of the worker leases. */
  get #canStartTasks(): boolean {
    const { shard, phase, earliestStartAt, now } = this.#dependencies;
    if (now() < earliestStartAt) return false;
    return phase.isClaimConfirmed || shard.hasMajority;
  }

  #execute(effect: Effect): void {
    const { phase, workers, journal, calls, onLost } = this.#dependencies;
    switch (effect.effect) {
      case 'start':
        void workers.startTask(effect);
        break;
      case 'command':
        void workers.sendCommand(effect);
        break;
      case 'commit':
        void journal.commit(effect);
        break;
      case 'changed':
        calls.notify(effect.requestId);
        break;
      case 'poll':
        void workers.poll(effect.worker);
        break;
      case 'interrupt':
        workers.interruptRenewal(effect);
        break;
      case 'standDown':
        if (phase.isActive) onLost(effect.detail, effect.epoch);
        break;
    }
  }
}
