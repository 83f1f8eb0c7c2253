import { validators, type Document, type Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { parse, TomlError } from 'smol-toml';
import { createFailure } from './createFailure.js';
import { validateValue } from './validateValue.js';

const checkReferences = (document: Document): string | undefined => {
  for (const [name, queue] of Object.entries(document.queues)) {
    if (queue.open === true && queue.team === undefined) {
      return `queues.${name}.team: found nothing; an open queue must name the team to which its work is charged`;
    }
    for (const team of [
      ...(queue.teams ?? []),
      ...(queue.team === undefined ? [] : [queue.team]),
    ]) {
      if (!Object.hasOwn(document.teams, team)) {
        return `queues.${name}: found team "${team}"; allowed: ${Object.keys(document.teams).join(', ')}`;
      }
    }
  }
  return undefined;
};

/**
 * Parses a configuration document and checks it against the schema and for references to unknown teams.
 *
 * @param text - TOML text
 * @returns the document; `invalidDocument` with the key, the found value and the allowed values
 */
export const parseDocument = (text: string): Result<Document, Failure> => {
  let data: unknown;
  try {
    data = parse(text);
  } catch (error) {
    const line = error instanceof TomlError ? `line ${error.line}: ` : '';
    const message = error instanceof Error ? (error.message.split('\n')[0] ?? '') : 'not TOML';
    return err(createFailure('invalidDocument', `${line}${message}`));
  }
  return validateValue(validators.Document, data, 'invalidDocument').andThen((document) => {
    const problem = checkReferences(document);
    return problem === undefined ? ok(document) : err(createFailure('invalidDocument', problem));
  });
};
