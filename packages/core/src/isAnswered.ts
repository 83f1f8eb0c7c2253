import type { RequestState, RequestView } from '@toucanline/schema';

const finalStates: ReadonlySet<RequestState> = new Set([
  'succeeded',
  'failed',
  'cancelled',
  'refused',
  'unknown',
]);

/**
 * Checks whether a view is the answer for a waiting caller: the request has finished, or it is a
 * running service.
 *
 * @param view - the view
 * @returns true if the caller need not wait any longer
 */
export const isAnswered = (view: RequestView): boolean =>
  finalStates.has(view.state) || (view.kind === 'service' && view.state === 'running');
