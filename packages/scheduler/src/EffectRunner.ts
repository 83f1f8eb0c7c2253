import type { Effect, Shard } from '@toucanline/core';
import type { OwnershipPhase } from './OwnershipPhase.js';
import type { CallHandler } from './CallHandler.js';
import type { ShardJournal } from './ShardJournal.js';
import type { WorkerCalls } from './WorkerCalls.js';

/** Requests started before the loop serves other events. */
const maxStartsPerTurn = 100;

/** What executes the effects. */
interface EffectDependencies {
  readonly shard: Shard;
  readonly phase: OwnershipPhase;
  readonly workers: WorkerCalls;
  readonly journal: ShardJournal;
  readonly calls: CallHandler;
  /** Local monotonic time of the first start, in milliseconds. */
  readonly earliestStartAt: number;
  readonly now: () => number;
  /** Called before each decision. */
  readonly prepareDispatch: () => void;
  /** Called once a worker proves that it accepted another owner. */
  readonly onLost: (detail: string, epoch: number) => void;
}

/** Lets the shard decide, and executes the effects of its decisions. */
export class EffectRunner {
  readonly #dependencies: EffectDependencies;
  #isRunning = false;

  /** @param parts - what executes the effects */
  public constructor(parts: EffectDependencies) {
    this.#dependencies = parts;
  }

  /** Decides and executes the effects; goes on in a later turn of the loop if more can start. */
  public run(): void {
    const { shard, phase, prepareDispatch: prepare } = this.#dependencies;
    if (!phase.canAct || this.#isRunning) return;
    prepare();
    this.#isRunning = true;
    const hasMore = this.#canStartTasks && shard.dispatch(maxStartsPerTurn, phase.isClaimConfirmed);
    for (const effect of shard.takeEffects()) this.#execute(effect);
    this.#isRunning = false;
    if (hasMore) {
      setImmediate(() => {
        this.run();
      });
    }
  }

  /** Without a confirmed store lease, new work needs a majority of the workers' leases. */
  get #canStartTasks(): boolean {
    const { shard, phase, earliestStartAt: startsAt, now } = this.#dependencies;
    if (now() < startsAt) return false;
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
