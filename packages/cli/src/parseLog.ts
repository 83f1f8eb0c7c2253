import type { LogLine } from './LogLine.js';

const isPlainObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const parseLine = (text: string): readonly LogLine[] => {
  // Log collectors may prefix a line with the host name or a time.
  const start = text.indexOf('{');
  if (start < 0) return [];
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    // A line of another program or a truncated line says nothing about the request.
    return [];
  }
  if (!isPlainObject(value) || !isPlainObject(value.context) || typeof value.message !== 'string')
    return [];
  const fields: Record<string, string | number> = {};
  for (const [name, field] of Object.entries(value.context)) {
    const isEventField = name !== 'process' && name !== 'logLevel';
    if (isEventField && (typeof field === 'string' || typeof field === 'number'))
      fields[name] = field;
  }
  const { process } = value.context;
  return [
    {
      event: value.message,
      process: typeof process === 'string' ? process : '?',
      timeMs: Number(value.time),
      sequence: Number(value.sequence),
      fields,
    },
  ];
};

/**
 * Parses the contents of log files. Skips lines that do not have the form of a log line: a JSON object with the text `message`
 * and the object `context`.
 *
 * @param texts - contents of each log file
 * @returns the lines ordered by time and, at equal times, by their sequence number
 */
export const parseLog = (texts: readonly string[]): readonly LogLine[] =>
  texts
    .flatMap((text) => text.split('\n').flatMap(parseLine))
    .sort((left, right) => left.timeMs - right.timeMs || left.sequence - right.sequence);
