import type { Validator } from '@toucanline/schema';

/**
 * Reads a record that this product wrote.
 *
 * @param validator - validator of its type
 * @param text - stored text
 * @returns the record; undefined if it is unreadable
 */
export const parseStoredRecord = <Value>(
  validator: Validator<Value>,
  text: string,
): Value | undefined => {
  try {
    const value: unknown = JSON.parse(text);
    return validator(value) ? value : undefined;
  } catch {
    return undefined;
  }
};
