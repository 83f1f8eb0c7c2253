import type { Worker } from './Worker.js';

/** A worker on which a step may run, and the permit if its queue requires one. */
export interface Candidate {
  readonly worker: Worker;
  readonly permit: string | undefined;
}
