/**
 * Outcome of a start command.
 *
 * - `started`: the worker runs the task
 * - `room`, `late`, `old`, `permit`, `unhealthy`, `invalid`: the run did not start, because the worker refused the
 *   command or, for `late`, because the leader could no longer send it
 * - `fenced`: the worker has received commands from a newer leader
 * - `otherLife`: the addressed incarnation has ended
 * - `refused`: the connection was refused, so the command was not received; a partition has the same effect, so this
 *   proves nothing about running tasks
 * - `unknown`: the command may have been executed, or may be executed later
 */
export type StartOutcome =
  | 'started'
  | 'room'
  | 'late'
  | 'old'
  | 'permit'
  | 'unhealthy'
  | 'invalid'
  | 'fenced'
  | 'otherLife'
  | 'refused'
  | 'unknown';
