import type { Failure, StoreValue, Validator } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { createFailure } from './createFailure.js';
import { validateValue } from './validateValue.js';

/**
 * Creates a decoder of stored JSON records.
 *
 * @param validator - validator of the record
 * @returns a function that decodes a stored value: the record; undefined if the key is absent; `internal` if the
 * value is invalid
 */
export const createRecordDecoder =
  <Value>(validator: Validator<Value>) =>
  ({ key, value }: StoreValue): Result<Value | undefined, Failure> => {
    if (value === undefined) return ok(undefined);
    let data: unknown;
    try {
      data = JSON.parse(value);
    } catch {
      return err(createFailure('internal', `${key}: the stored value is not valid JSON`));
    }
    return validateValue(validator, data, 'internal');
  };
