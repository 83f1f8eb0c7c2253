import type { RequestState, RequestView } from '@toucanline/schema';

const finalStates: ReadonlySet<RequestState> = new Set([
  'succeeded',
  'failed',
  'cancelled',
  'refused',
  'unknown',
]);

/**
 * Checks whether a view answers its caller: the request ended, or it is a service that runs.
 *
 * @param view - the view
 * @returns true if the caller need not wait longer
 */
export const isAnswered = (view: RequestView): boolean =>
  finalStates.has(view.state) || (view.kind === 'service' && view.state === 'running');
