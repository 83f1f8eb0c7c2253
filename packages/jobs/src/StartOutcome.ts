/**
 * Outcome of a start order. `room`, `late`, `old`, `permit` and `unhealthy` are refusals: the run did not start.
 * `fenced`: a newer leader gave orders to the worker. `otherLife`: the incarnation is gone. `refused`: nothing
 * listens at the address any more. `unknown`: the order may have been carried out, or may be later.
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
