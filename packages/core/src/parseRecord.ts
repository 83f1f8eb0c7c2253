import type { Failure, Validator } from '@toucanline/schema';
import { err, type Result } from 'neverthrow';
import { createFailure } from './createFailure.js';
import { validateValue } from './validateValue.js';

/**
 * Parses a stored record.
 *
 * @param validator - generated validator of the record
 * @param text - JSON text of the record
 * @returns the record; `internal` if the text is not valid JSON or the record is invalid
 */
export const parseRecord = <Value>(
  validator: Validator<Value>,
  text: string,
): Result<Value, Failure> => {
  let data: unknown;
  try {
    data = JSON.parse(text);
  } catch {
    return err(createFailure('internal', 'a stored value is not valid JSON'));
  }
  return validateValue(validator, data, 'internal');
};
