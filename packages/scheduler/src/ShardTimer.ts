import type { Shard } from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';
import type { Ownership } from './Ownership.js';
import type { OwnershipPhase } from './OwnershipPhase.js';
import type { ShardJournal } from './ShardJournal.js';
import type { WorkTransfer } from './WorkTransfer.js';

const tickIntervalMs = 250;
/** Ticks between looks at the workers that the next owner has to know of. */
const ticksPerRosterSave = 4;

/** What the timer works with. */
interface TimerDependencies {
  readonly runtime: Pick<ProcessRuntime, 'clock' | 'recorder'>;
  readonly shard: Shard;
  readonly ownership: Ownership;
  readonly phase: OwnershipPhase;
  readonly journal: ShardJournal;
  readonly succession: WorkTransfer;
  /** Called after the shard heard of the passage of time. */
  readonly onChange: () => void;
}

/** Tells a shard the passage of time, and decides when its owner begins to serve and gives work up. */
export class ShardTimer {
  readonly #dependencies: TimerDependencies;

  /** @param parts - what the timer works with */
  public constructor(parts: TimerDependencies) {
    this.#dependencies = parts;
  }

  /** Runs until the ownership ends. */
  public async run(): Promise<void> {
    const { runtime, shard, phase, journal, succession, onChange } = this.#dependencies;
    for (let tick = 0; phase.isActive; tick += 1) {
      if (phase.canAct) {
        this.#checkCutOff();
        if (journal.isOpen) void succession.publishReleaseTerms();
        shard.tick();
        this.updateServing();
        if (tick % ticksPerRosterSave === 0) void journal.saveRoster();
      }
      onChange();
      await runtime.clock.sleep(tickIntervalMs);
    }
  }

  /** Requests are taken once the journal is loaded, or without it while the store is unreachable. */
  public updateServing(): void {
    const { runtime, shard, ownership, phase, journal } = this.#dependencies;
    if (phase.hasServed) return;
    const isAlone = phase.isStoreUnreachable && shard.hasMajority;
    if (!journal.isOpen && !isAlone) return;
    phase.startServing();
    ownership.onServing();
    if (!journal.isOpen) shard.skipJournal();
    if (phase.isWithoutClaim) {
      const { shard: name, epoch } = ownership.claim;
      const detail = `${ownership.basis}, by a majority of the leases of the workers`;
      runtime.recorder.record('claimTaken', { shard: name, epoch, detail });
    }
  }

  /** Gives queues up whose time without store contact has passed; a later contact needs a new claim. */
  #checkCutOff(): void {
    const { shard, ownership, journal, succession } = this.#dependencies;
    const contactAt = ownership.readLastContactAt();
    if (succession.isClaimOutdated(contactAt)) {
      ownership.onLost('the data centre was cut off and gave work up', shard.epoch);
      return;
    }
    const queues = succession.listQueuesToRelease(contactAt);
    if (queues.size === 0) return;
    // An end of given-up work must not enter the journal: other data centres decide about it.
    journal.close();
    shard.releaseQueues(queues);
  }
}
