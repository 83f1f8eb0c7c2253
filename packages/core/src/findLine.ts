import { parse } from 'smol-toml';

/** Reads the keys in a table header or on the left side of an assignment. */
const readKeys = (source: string): readonly string[] | undefined => {
  let value: unknown;
  try {
    value = parse(source);
  } catch {
    return undefined;
  }
  const keys: string[] = [];
  while (typeof value === 'object' && value !== null) {
    const [entry] = Object.entries(Array.isArray(value) ? {} : value);
    if (entry === undefined) break;
    keys.push(entry[0]);
    value = entry[1];
  }
  return keys;
};

const countShared = (left: readonly string[], right: readonly string[]): number => {
  let count = 0;
  while (count < left.length && left[count] === right[count]) count += 1;
  return count;
};

/**
 * Finds the line of a TOML text in which a key is set. For a key that is missing or part of an inline table, the
 * line of the enclosing table is found.
 *
 * @param text - TOML text
 * @param path - keys from the top level to the value
 * @returns line number, counted from 1; undefined if no line sets a prefix of the path
 */
export const findLine = (text: string, path: readonly string[]): number | undefined => {
  let table: readonly string[] = [];
  let best: number | undefined;
  let bestLength = 0;
  for (const [index, line] of text.split('\n').entries()) {
    const isHeader = /^\s*\[/.test(line);
    const assigned = /^\s*([^=#[]+?)\s*=/.exec(line)?.[1];
    const keys = isHeader ? readKeys(line) : assigned && readKeys(`${assigned} = 0`);
    if (keys === undefined || keys === '') continue;
    if (isHeader) table = keys;
    const full = isHeader ? keys : [...table, ...keys];
    const shared = countShared(full, path);
    if (shared < full.length || shared <= bestLength) continue;
    best = index + 1;
    bestLength = shared;
  }
  return best;
};
