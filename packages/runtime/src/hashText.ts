import { createHash } from 'node:crypto';

/**
 * Hashes a text.
 *
 * @param text - the text
 * @returns SHA-256 in hexadecimal
 */
export const hashText = (text: string): string => createHash('sha256').update(text).digest('hex');
