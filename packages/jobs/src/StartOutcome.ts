/**
 * Outcome of a start order. `room`, `late`, `old`, `permit` and `unhealthy` are refusals: the run did not start.
 * `fenced`: a newer leader gave orders to the worker. `otherLife`: the incarnation is gone. `refused`: the
 * connection was refused, which a partition does as well, so nothing follows for what already runs there. `unknown`: the order may have been carried out, or may be later.
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
