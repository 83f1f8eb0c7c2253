import {
  EventRecorder,
  EventStream,
  Invariant,
  parseDocument,
  Policy,
  type RandomSource,
} from '../src/index.js';
import { CountingRandom } from './CountingRandom.js';
import type { DriftingClock } from './DriftingClock.js';
import { FaultyStore } from './FaultyStore.js';

const document = `schema = 1
[shards.s1]
dataCentre = "dc1"
[teams.a]
share = 1
[queues.q]
kind = "batch"
idempotent = true
`;

/** Dependencies of the components of a process, for tests of the core. */
interface TestDependencies {
  readonly clock: DriftingClock;
  readonly recorder: EventRecorder;
  readonly policy: Policy;
  readonly random: RandomSource;
  readonly invariant: Invariant;
  readonly store: FaultyStore;
}

/**
 * Creates the dependencies of the components of a process, for tests of the core.
 *
 * @param clock - clock of the process
 * @returns the dependencies
 */
export const createDependencies = (clock: DriftingClock): TestDependencies => {
  const recorder = new EventRecorder(clock, new EventStream(), 'test', 'dc1');
  const policy = new Policy(parseDocument(document)._unsafeUnwrap());
  return {
    clock,
    recorder,
    policy,
    random: new CountingRandom(),
    invariant: new Invariant(recorder, true),
    store: new FaultyStore(clock),
  };
};
