/**
 * Benchmarks of the decision core and of whole sites.
 *
 * @packageDocumentation
 */
export { measureGoodput } from './measureGoodput.js';
export { measureShares } from './measureShares.js';
export { Benchmark } from './Benchmark.js';
export { PlacementBenchmark } from './PlacementBenchmark.js';
export { SeededRandom } from './SeededRandom.js';
export { ShardSimulation } from './ShardSimulation.js';
export { VirtualClock } from './VirtualClock.js';
export { createRequests } from './createRequests.js';
export { createWorkers } from './createWorkers.js';
