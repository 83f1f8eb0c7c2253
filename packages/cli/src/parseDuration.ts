const unitMs: Readonly<Record<string, number>> = { s: 1000, m: 60_000, h: 3_600_000 };

/**
 * Parses a duration.
 *
 * @param text - such as `30s`, `5m` or `2h`
 * @returns milliseconds; undefined if the text is no duration
 */
export const parseDuration = (text: string): number | undefined => {
  const [, amount = '', unit = ''] = /^(\d+)([smh])$/.exec(text) ?? [];
  const factor = unitMs[unit];
  return factor === undefined ? undefined : Number(amount) * factor;
};
