import type { Failure, Validator } from '@toucanline/schema';
import { err, type Result } from 'neverthrow';
import { createFailure } from './createFailure.js';
import { validateValue } from './validateValue.js';

/**
 * Parses a record that the store returned.
 *
 * @param validator - generated validator of the record
 * @param text - JSON text of the record
 * @returns the record; `internal` if the text is not valid JSON or not such a record
 */
export const parseRecord = <Value>(
  validator: Validator<Value>,
  text: string,
): Result<Value, Failure> => {
  let data: unknown;
  try {
    data = JSON.parse(text);
  } catch {
    return err(createFailure('internal', 'a store value is not valid JSON'));
  }
  return validateValue(validator, data, 'internal');
};
