import { checkDocument } from '@toucanline/core/checkDocument';
import { formatIssue } from '@toucanline/core/formatIssue';
import type { Document } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import { exitCodes } from './exitCodes.js';
import { readTextFile } from './readTextFile.js';

/**
 * Reads and validates a configuration document.
 *
 * @param path - path of the file
 * @returns the text and the parsed document; or a failure that lists every error with its line
 */
export const readDocument = (
  path: string,
): Result<{ readonly text: string; readonly document: Document }, ClientFailure> =>
  readTextFile(path).andThen((text) => {
    const { document, issues } = checkDocument(text);
    if (document !== undefined) return ok({ text, document });
    return err({
      message: [`${path}: found ${issues.length} error(s)`, ...issues.map(formatIssue)].join('\n'),
      next: 'Correct these lines. All keys are described in docs/reference/document.md.',
      exitCode: exitCodes.invalid,
    });
  });
