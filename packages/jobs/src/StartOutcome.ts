/**
 * Outcome of a start order.
 *
 * - `started`: the worker runs the task
 * - `room`, `late`, `old`, `permit`, `unhealthy`, `invalid`: the worker refused, and the run did not start
 * - `fenced`: a newer leader has given orders to the worker
 * - `otherLife`: the incarnation that was meant has ended
 * - `refused`: the connection was refused; a partition does that as well, so it says nothing of what runs there
 * - `unknown`: the order may have been carried out, or may be carried out later
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
