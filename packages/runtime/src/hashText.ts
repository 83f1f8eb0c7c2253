import { createHash } from 'node:crypto';

/**
 * Hashes a text with SHA-256.
 *
 * @param text - the text
 * @returns the hash in lower-case hexadecimal
 */
export const hashText = (text: string): string => createHash('sha256').update(text).digest('hex');
