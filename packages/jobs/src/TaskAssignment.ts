import type { Candidate } from './Candidate.js';
import type { Task } from './Task.js';

/** A task and the worker chosen for it. */
export interface TaskAssignment extends Candidate {
  readonly task: Task;
}
