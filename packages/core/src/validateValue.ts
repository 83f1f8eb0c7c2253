import type { ErrorKind, Failure, Validator } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { createFailure } from './createFailure.js';

const maxFoundLength = 60;

const readPath = (data: unknown, path: string): unknown => {
  let value: unknown = data;
  for (const part of path.split('/').slice(1)) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Readonly<Record<string, unknown>>)[
      part.replace('~1', '/').replace('~0', '~')
    ];
  }
  return value;
};

const describeFound = (value: unknown): string => {
  const text = value === undefined ? 'nothing' : JSON.stringify(value);
  return text.length > maxFoundLength ? `${text.slice(0, maxFoundLength)}…` : text;
};

const describeAllowed = (message: string, params: Readonly<Record<string, unknown>>): string => {
  const extra = params.additionalProperty ?? params.unevaluatedProperty;
  if (typeof extra === 'string') return `unknown key "${extra}"`;
  if (Array.isArray(params.allowedValues)) return `allowed: ${params.allowedValues.join(', ')}`;
  if ('allowedValue' in params) return `allowed: ${JSON.stringify(params.allowedValue)}`;
  return message;
};

/**
 * Checks a value from outside the process with a generated validator.
 *
 * @param validator - the validator
 * @param data - the value
 * @param kind - error kind of a failure
 * @returns the typed value, or a failure that names the key, what was found and what is allowed
 */
export const validateValue = <Value>(
  validator: Validator<Value>,
  data: unknown,
  kind: ErrorKind = 'malformedRequest',
): Result<Value, Failure> => {
  if (validator(data)) return ok(data);
  const first = validator.errors?.[0];
  if (first === undefined) return err(createFailure(kind, 'invalid value'));
  const key =
    first.instancePath === '' ? 'top level' : first.instancePath.slice(1).replaceAll('/', '.');
  const found = describeFound(readPath(data, first.instancePath));
  const allowed = describeAllowed(first.message ?? 'invalid', first.params);
  return err(createFailure(kind, `${key}: found ${found}; ${allowed}`));
};
