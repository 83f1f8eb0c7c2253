import type { Candidate } from './Candidate.js';
import type { Task } from './Task.js';

/** A chosen worker for a task. */
export interface TaskAssignment extends Candidate {
  readonly task: Task;
}
