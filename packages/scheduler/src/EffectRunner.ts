import type { Effect, Shard } from '@toucanline/core';
import type { OwnerPhase } from './OwnerPhase.js';
import type { RequestCalls } from './RequestCalls.js';
import type { ShardJournal } from './ShardJournal.js';
import type { WorkerDriver } from './WorkerDriver.js';

/** Requests started before the loop serves other events. */
const maxStartsPerTurn = 100;

/** What executes the effects. */
interface EffectParts {
  readonly shard: Shard;
  readonly phase: OwnerPhase;
  readonly workers: WorkerDriver;
  readonly journal: ShardJournal;
  readonly calls: RequestCalls;
  /** Local monotonic time of the first start, in milliseconds. */
  readonly startsAt: number;
  readonly now: () => number;
  /** Called before each decision. */
  readonly prepare: () => void;
  /** Called once a worker proves that it accepted another owner. */
  readonly onLost: (detail: string, epoch: number) => void;
}

/** Lets the shard decide, and executes the effects of its decisions. */
export class EffectRunner {
  readonly #parts: EffectParts;
  #running = false;

  /** @param parts - what executes the effects */
  public constructor(parts: EffectParts) {
    this.#parts = parts;
  }

  /** Decides and executes the effects; goes on in a later turn of the loop if more can start. */
  public run(): void {
    const { shard, phase, prepare } = this.#parts;
    if (!phase.mayAct || this.#running) return;
    prepare();
    this.#running = true;
    const hasMore = this.#mayStart && shard.dispatch(maxStartsPerTurn, phase.isConfirmed);
    for (const effect of shard.takeEffects()) this.#execute(effect);
    this.#running = false;
    if (hasMore) {
      setImmediate(() => {
        this.run();
      });
    }
  }

  /** Without a confirmed store lease, new work needs a majority of the workers' leases. */
  get #mayStart(): boolean {
    const { shard, phase, startsAt, now } = this.#parts;
    if (now() < startsAt) return false;
    return phase.isConfirmed || shard.hasMajority;
  }

  #execute(effect: Effect): void {
    const { phase, workers, journal, calls, onLost } = this.#parts;
    switch (effect.effect) {
      case 'start':
        void workers.start(effect);
        break;
      case 'command':
        void workers.command(effect);
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
        workers.interrupt(effect);
        break;
      case 'standDown':
        if (phase.isActive) onLost(effect.detail, effect.epoch);
        break;
    }
  }
}
