/**
 * Counts the bytes of a text when encoded as UTF-8.
 *
 * @param text - the text
 * @returns number of bytes
 */
export const countBytes = (text: string): number => {
  let bytes = 0;
  for (const character of text) {
    const code = character.codePointAt(0) ?? 0;
    if (code < 0x80) bytes += 1;
    else if (code < 0x800) bytes += 2;
    else bytes += code < 0x10000 ? 3 : 4;
  }
  return bytes;
};
