import type { Worker } from './Worker.js';

/** A worker on which a step may run, with the permit if its queue needs one. */
export interface Candidate {
  readonly worker: Worker;
  readonly permit: string | undefined;
}
