import { readFileSync } from 'node:fs';
import { createFailure } from '@toucanline/core/createFailure';
import { validateValue } from '@toucanline/core/validateValue';
import type { Failure, Validator } from '@toucanline/schema';
import { err, type Result } from 'neverthrow';
import { parse } from 'smol-toml';

/**
 * Loads and validates a settings file.
 *
 * @param path - path of a TOML file
 * @param validator - validator of its content
 * @returns the settings; `invalidSettings` with the path, the key, and the found and allowed values
 */
export const loadSettings = <Settings>(
  path: string,
  validator: Validator<Settings>,
): Result<Settings, Failure> => {
  let data: unknown;
  try {
    data = parse(readFileSync(path, 'utf8'));
  } catch (error) {
    const detail = error instanceof Error ? error.message.split('\n')[0] : 'cannot be read';
    return err(createFailure('invalidSettings', `${path}: ${detail ?? ''}`));
  }
  return validateValue(validator, data, 'invalidSettings').mapErr(({ detail }) =>
    createFailure('invalidSettings', `${path}: ${detail}`),
  );
};
