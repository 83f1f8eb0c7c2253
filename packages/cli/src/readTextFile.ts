import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import { exitCodes } from './exitCodes.js';

/**
 * Reads a text file (UTF-8).
 *
 * @param path - path of the file
 * @returns the text of the file, or the failure
 */
export const readTextFile = (path: string): Result<string, ClientFailure> => {
  try {
    return ok(readFileSync(path, 'utf8'));
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return err({
      message,
      next: 'Check that the path is correct and that the file is readable.',
      exitCode: exitCodes.invalid,
    });
  }
};
