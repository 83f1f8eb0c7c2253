import type { DocumentIssue } from './DocumentIssue.js';

/**
 * Formats an error of a document as one line of text.
 *
 * @param issue - the error
 * @returns text with the line number, the key, the found value and the allowed values
 */
export const formatIssue = ({ path, line, found, allowed }: DocumentIssue): string => {
  const place = line === undefined ? '' : `line ${line}: `;
  return `${place}${path.join('.') || 'document'}: found ${found}; ${allowed}`;
};
