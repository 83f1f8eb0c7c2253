/**
 * Compares two hashes of equal length in constant time, to prevent timing attacks.
 *
 * @param left - a hash in hexadecimal
 * @param right - another hash
 * @returns true if they are equal
 */
export const equalsHash = (left: string, right: string): boolean => {
  if (left.length !== right.length) return false;
  let difference = 0;
  for (let index = 0; index < left.length; index += 1) {
    difference |= left.charCodeAt(index) ^ right.charCodeAt(index);
  }
  return difference === 0;
};
