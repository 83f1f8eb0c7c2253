const unitMs: Readonly<Record<string, number>> = { s: 1000, m: 60_000, h: 3_600_000 };

/**
 * Parses a duration given on the command line.
 *
 * @param text - whole number with the unit s, m or h, such as `30s`, `5m` or `2h`
 * @returns the duration in milliseconds; undefined if the text is not a duration
 */
export const parseDuration = (text: string): number | undefined => {
  const [, amount = '', unit = ''] = /^(\d+)([smh])$/.exec(text) ?? [];
  const factorMs = unitMs[unit];
  return factorMs === undefined ? undefined : Number(amount) * factorMs;
};
