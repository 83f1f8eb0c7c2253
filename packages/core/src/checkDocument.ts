import { documentChecker, type Document } from '@toucanline/schema';
import { parse, TomlError } from 'smol-toml';
import { checkSemantics } from './checkSemantics.js';
import { countBytes } from './countBytes.js';
import { describeIssue } from './describeIssue.js';
import type { DocumentIssue } from './DocumentIssue.js';
import { documentLimits } from './documentLimits.js';
import { findLine } from './findLine.js';

const schemaVersion = 1;

const checkSyntax = (text: string): DocumentIssue | { readonly data: unknown } => {
  try {
    return { data: parse(text) };
  } catch (error) {
    const message = error instanceof Error ? (error.message.split('\n')[0] ?? '') : 'not TOML';
    const isDuplicate = /redefine|already defined/i.test(message);
    return {
      path: [],
      found: message.replace(/^Invalid TOML document: /, ''),
      allowed: isDuplicate ? 'each team, queue, shard and key is defined once' : 'TOML 1.0',
      ...(error instanceof TomlError ? { line: error.line } : {}),
    };
  }
};

const checkVersion = (data: unknown): DocumentIssue | undefined => {
  const version = (data as Readonly<Record<string, unknown>>).schema;
  if (version === undefined || version === schemaVersion) return undefined;
  return {
    path: ['schema'],
    found: JSON.stringify(version),
    allowed: `allowed: ${schemaVersion}, the schema version that this program reads`,
  };
};

const checkShape = (data: unknown): readonly DocumentIssue[] => {
  if (documentChecker(data)) return checkSemantics(data);
  return (documentChecker.errors ?? []).map((error) => describeIssue(data, error));
};

/**
 * Checks a configuration document before it is accepted. The check is stricter than the parser of accepted
 * documents, so that a later version with more checks can still read the document in effect.
 *
 * @param text - TOML text
 * @returns the document, or all errors, each with its line if known
 */
export const checkDocument = (
  text: string,
): { readonly document?: Document; readonly issues: readonly DocumentIssue[] } => {
  // The record is stored as JSON, in which quotes and line breaks are escaped and take two bytes.
  const encodedBytes = countBytes(JSON.stringify(text));
  if (encodedBytes > documentLimits.maxEncodedBytes) {
    const allowed = `at most ${documentLimits.maxEncodedBytes} bytes when encoded`;
    return { issues: [{ path: [], found: `${encodedBytes} bytes`, allowed }] };
  }
  const parsed = checkSyntax(text);
  if ('path' in parsed) return { issues: [parsed] };
  const { data } = parsed;
  const version = checkVersion(data);
  const issues = (version === undefined ? checkShape(data) : [version]).map((issue) => {
    const line = findLine(text, issue.path);
    return line === undefined ? issue : { ...issue, line };
  });
  return issues.length === 0 ? { document: data as Document, issues } : { issues };
};
