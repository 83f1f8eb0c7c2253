import type { Shard } from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';
import type { Ownership } from './Ownership.js';
import type { OwnershipPhase } from './OwnershipPhase.js';
import type { ShardJournal } from './ShardJournal.js';
import type { WorkTransfer } from './WorkTransfer.js';

const tickIntervalMs = 250;
/** Number of ticks between writes of the roster, the workers that the next owner has to know. */
const ticksPerRosterSave = 4;

/** Dependencies of the timer. */
interface TimerDependencies {
  readonly runtime: Pick<ProcessRuntime, 'clock' | 'recorder'>;
  readonly shard: Shard;
  readonly ownership: Ownership;
  readonly phase: OwnershipPhase;
  readonly journal: ShardJournal;
  readonly workTransfer: WorkTransfer;
  /** Called after each tick. */
  readonly onChange: () => void;
}

/** Ticks a shard at a fixed interval, and decides when its owner starts serving and releases queues. */
export class ShardTimer {
  readonly #dependencies: TimerDependencies;

  /** @param dependencies - components of the runner */
  public constructor(dependencies: TimerDependencies) {
    this.#dependencies = dependencies;
  }

  /** Runs until the ownership ends. */
  public async run(): Promise<void> {
    const { runtime, shard, phase, journal, workTransfer, onChange } = this.#dependencies;
    for (let tick = 0; phase.isActive; tick += 1) {
      if (phase.canAct) {
        this.#checkCutOff();
        if (journal.isOpen) void workTransfer.publishReleaseTerms();
        shard.tick();
        this.updateServing();
        if (tick % ticksPerRosterSave === 0) void journal.saveRoster();
      }
      onChange();
      await runtime.clock.sleep(tickIntervalMs);
    }
  }

  /**
   * Starts serving once the journal is loaded, or without it while the store is unreachable and a majority of the
   * worker leases is held.
   */
  public updateServing(): void {
    const { runtime, shard, ownership, phase, journal } = this.#dependencies;
    if (phase.hasServed) return;
    const canServeWithoutJournal = phase.isStoreUnreachable && shard.hasMajority;
    if (!journal.isOpen && !canServeWithoutJournal) return;
    phase.startServing();
    ownership.onServing();
    if (!journal.isOpen) shard.skipJournal();
    if (phase.isWithoutClaim) {
      const { shard: name, epoch } = ownership.claim;
      const detail = `${ownership.basis}, by a majority of the leases of the workers`;
      runtime.recorder.record('claimTaken', { shard: name, epoch, detail });
    }
  }

  /**
   * Releases the queues whose delay without store contact has passed; after a later contact, a new claim is needed.
   */
  #checkCutOff(): void {
    const { shard, ownership, journal, workTransfer } = this.#dependencies;
    const contactAt = ownership.readLastContactAt();
    if (workTransfer.isClaimOutdated(contactAt)) {
      ownership.onLost('the data centre was cut off and released queues', shard.epoch);
      return;
    }
    const queues = workTransfer.listQueuesToRelease(contactAt);
    if (queues.size === 0) return;
    // The end of a released request must not enter the journal: other data centres decide about it.
    journal.close();
    shard.releaseQueues(queues);
  }
}
