import type { ErrorKind, Failure, Validator } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { createFailure } from './createFailure.js';
import { describeIssue } from './describeIssue.js';

/**
 * Validates a value from outside the process with a generated validator.
 *
 * @param validator - the validator
 * @param data - the value
 * @param kind - error kind of the failure
 * @returns the typed value, or a failure that names the key, the found value and the allowed values
 */
export const validateValue = <Value>(
  validator: Validator<Value>,
  data: unknown,
  kind: ErrorKind = 'malformedRequest',
): Result<Value, Failure> => {
  if (validator(data)) return ok(data);
  const first = validator.errors?.[0];
  if (first === undefined) return err(createFailure(kind, 'invalid value'));
  const { path, found, allowed } = describeIssue(data, first);
  const isExtra = typeof first.params.additionalProperty === 'string';
  const key = (isExtra ? path.slice(0, -1) : path).join('.') || 'top level';
  return err(createFailure(kind, `${key}: found ${found}; ${allowed}`));
};
