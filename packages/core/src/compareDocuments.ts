const describe = (value: unknown): string =>
  value === undefined ? 'nothing' : JSON.stringify(value);

const isTable = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/**
 * Lists the differences between two documents.
 *
 * @param before - the older document
 * @param after - the newer document
 * @param path - dotted key of the compared tables; empty at the top level
 * @returns one line for each changed key, such as `teams.planning.share: 2 -> 3`
 */
export const compareDocuments = (before: unknown, after: unknown, path = ''): readonly string[] => {
  if (isTable(before) && isTable(after)) {
    const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
    return keys.flatMap((key) =>
      compareDocuments(before[key], after[key], path === '' ? key : `${path}.${key}`),
    );
  }
  const left = describe(before);
  const right = describe(after);
  return left === right ? [] : [`${path}: ${left} -> ${right}`];
};
