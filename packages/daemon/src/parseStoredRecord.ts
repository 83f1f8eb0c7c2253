import type { Validator } from '@toucanline/schema';

/**
 * Parses a record that toucanline wrote to the store.
 *
 * @param validator - validator of the record type
 * @param text - stored JSON text
 * @returns the record; undefined if the text is not valid JSON or not such a record
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
