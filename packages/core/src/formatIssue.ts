import type { DocumentIssue } from './DocumentIssue.js';

/**
 * Formats an error of a document as one line.
 *
 * @param issue - the error
 * @returns line, key, found and allowed values
 */
export const formatIssue = ({ path, line, found, allowed }: DocumentIssue): string => {
  const place = line === undefined ? '' : `line ${line}: `;
  return `${place}${path.join('.') || 'document'}: found ${found}; ${allowed}`;
};
