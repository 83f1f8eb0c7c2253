import type { Validator } from '@toucanline/schema';
import type { DocumentIssue } from './DocumentIssue.js';

const maxFoundLength = 60;

/** One error reported by a generated validator. */
type ValidatorError = NonNullable<Validator<unknown>['errors']>[number];

const readPath = (data: unknown, path: readonly string[]): unknown => {
  let value: unknown = data;
  for (const part of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Readonly<Record<string, unknown>>)[part];
  }
  return value;
};

const formatValue = (value: unknown): string => {
  try {
    return JSON.stringify(value);
  } catch {
    // The parser accepts deeper nesting than the serializer, whose recursion fills the stack.
    return 'a deeply nested value';
  }
};

const describeFound = (value: unknown): string => {
  const text = value === undefined ? 'nothing' : formatValue(value);
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
 * Describes one error of a validator.
 *
 * @param data - the validated value
 * @param error - the error
 * @returns the issue, with path, found value and allowed values but without a line
 */
export const describeIssue = (data: unknown, error: ValidatorError): DocumentIssue => {
  const path = error.instancePath
    .split('/')
    .slice(1)
    .map((part) => part.replaceAll('~1', '/').replaceAll('~0', '~'));
  const extra: unknown = error.params.additionalProperty;
  return {
    path: typeof extra === 'string' ? [...path, extra] : path,
    found: describeFound(readPath(data, path)),
    allowed: describeAllowed(error.message ?? 'invalid', error.params),
  };
};
