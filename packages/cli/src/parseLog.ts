import type { LogLine } from './LogLine.js';

const isPlainObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const parseLine = (text: string): readonly LogLine[] => {
  // Collectors put the name of the host or a time before the line.
  const start = text.indexOf('{');
  if (start < 0) return [];
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    // A line of another program, or one that was cut off: it tells nothing about the request.
    return [];
  }
  if (!isPlainObject(value) || !isPlainObject(value.context) || typeof value.message !== 'string')
    return [];
  const fields: Record<string, string | number> = {};
  for (const [name, field] of Object.entries(value.context)) {
    const isShown = name !== 'process' && name !== 'logLevel';
    if (isShown && (typeof field === 'string' || typeof field === 'number')) fields[name] = field;
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
 * Reads the lines of logs. Lines that are not of a host's log are passed over.
 *
 * @param texts - contents of log files
 * @returns the lines by time; those of one process in the order in which it wrote them at equal times
 */
export const parseLog = (texts: readonly string[]): readonly LogLine[] =>
  texts
    .flatMap((text) => text.split('\n').flatMap(parseLine))
    .sort((a, b) => a.timeMs - b.timeMs || a.sequence - b.sequence);
