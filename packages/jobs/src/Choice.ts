import type { Candidate } from './Candidate.js';
import type { Task } from './Task.js';

/** A chosen worker for a task. */
export interface Choice extends Candidate {
  readonly task: Task;
}
