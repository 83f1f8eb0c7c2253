import { cancellationMarker } from './cancellationMarker.js';
import { refusalMarker } from './refusalMarker.js';

/**
 * Checks whether a value at the key of a job is a marker: it stands for no job and is removed after the retention time.
 *
 * @param value - value in the store
 * @returns whether it is a refusal or a cancellation marker
 */
export const isMarker = (value: string): boolean =>
  value === refusalMarker || value === cancellationMarker;
