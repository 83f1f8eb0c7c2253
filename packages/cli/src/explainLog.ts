import type { LogLine } from './LogLine.js';

/** Lines about one request, and what they say in words. */
interface LogExplanation {
  readonly lines: readonly LogLine[];
  readonly sentences: readonly string[];
}

/** Waits from which a sentence names them, in milliseconds: below, nothing was held up. */
const notableWaitMs = 500;
/** How long before and after a request's own lines a change of the leader still matters, in milliseconds. */
const leaderMarginMs = 2000;

const leaderEvents: ReadonlySet<string> = new Set([
  'leaderElected',
  'leaderLoaded',
  'leaderDeposed',
]);

const read = (line: LogLine, field: string): string => String(line.fields[field] ?? '?');

const concerns = ({ fields }: LogLine, request: string): boolean => {
  if (fields.request === request) return true;
  return [fields.step, fields.task].some((name) => String(name ?? '').startsWith(`${request}.`));
};

/** Names of the tasks that a line of `tasksPlaced` starts. */
const listPlaced = (line: LogLine): readonly string[] =>
  read(line, 'placed')
    .split(' ')
    .map((place) => `${read(line, 'step')}.${place.split('@')[0] ?? ''}`);

const describeSubmission = (line: LogLine): string => {
  const outcome = read(line, 'outcome');
  const where = `${line.process}, with version ${read(line, 'configurationVersion')} of the configuration`;
  if (outcome === 'accepted') {
    return `Accepted by ${where}, in ${read(line, 'storeMs')} ms, for account "${read(line, 'account')}".`;
  }
  return `Not accepted by ${where}: ${outcome} after ${read(line, 'storeMs')} ms.`;
};

const describePermits = (line: LogLine): string => {
  const call = `asked through ${read(line, 'through')} in ${read(line, 'durationMs')} ms`;
  const step = `Step ${read(line, 'step')}`;
  const allowed = Number(line.fields.allowed);
  if (allowed < 0) return `${step}: the advice service gave no answer, ${call}.`;
  if (allowed === 0)
    return `${step}: the policy allows none of ${read(line, 'asked')} workers, ${call}.`;
  return `${step}: ${allowed} of ${read(line, 'asked')} workers allowed, ${call}.`;
};

const describeOther = (line: LogLine): string | undefined => {
  switch (line.event) {
    case 'jobSubmitted':
      return describeSubmission(line);
    case 'callRefused':
      return `Refused as not run by ${line.process}: ${read(line, 'reason')}. Its configuration was confirmed ${read(line, 'configurationAgeMs')} ms before, the store last answered ${read(line, 'storeSilenceMs')} ms before.`;
    case 'permitsAnswered':
      return describePermits(line);
    case 'startNotConfirmed':
      return `Run ${read(line, 'run')} of ${read(line, 'task')} was not confirmed by ${read(line, 'worker')}: ${read(line, 'outcome')} after ${read(line, 'answerMs')} ms.`;
    case 'jobCancelled':
      return `Cancelled through ${line.process} (revision ${read(line, 'revision')}).`;
    case 'jobFinished':
      return `Shown as ${read(line, 'state')} since revision ${read(line, 'revision')}.`;
    case 'leaderElected':
      return `${line.process} became leader in term ${read(line, 'term')}.`;
    case 'leaderDeposed':
      return `${line.process} no longer led: ${read(line, 'reason')}.`;
    default:
      return undefined;
  }
};

/** Says what decided, line after line, and remembers what a later line needs. */
class Narrator {
  readonly #sentences: string[] = [];
  /** Why the last run of a task ended early, as far as a line says so. */
  readonly #stops = new Map<string, string>();
  readonly #started = new Set<string>();
  #previous: LogLine | undefined;
  #longestMs = 0;
  #longest = '';

  public get sentences(): readonly string[] {
    if (this.#longestMs < notableWaitMs) return this.#sentences;
    return [...this.#sentences, `The longest wait: ${this.#longestMs} ms, ${this.#longest}.`];
  }

  public tell(line: LogLine): void {
    this.#noteWait(line);
    if (line.event === 'tasksPlaced') this.#tellPlacement(line);
    else if (line.event === 'taskStopped') this.#tellStop(line);
    else {
      const sentence = describeOther(line);
      if (sentence !== undefined) this.#sentences.push(sentence);
    }
  }

  #noteWait(line: LogLine): void {
    const previous = this.#previous;
    this.#previous = line;
    if (previous === undefined) return;
    const waitMs = line.timeMs - previous.timeMs;
    if (waitMs <= this.#longestMs) return;
    this.#longestMs = waitMs;
    this.#longest = `between ${previous.event} at ${previous.process} and ${line.event} at ${line.process}`;
  }

  #tellPlacement(line: LogLine): void {
    const tasks = listPlaced(line);
    const again = tasks.filter((task) => this.#started.has(task));
    for (const task of tasks) this.#started.add(task);
    const waiting = Number(line.fields.stillWaiting);
    const rest = waiting > 0 ? `, ${waiting} still wait for room or a permit` : '';
    this.#sentences.push(
      `Step ${read(line, 'step')}: ${tasks.length} tasks started by ${line.process} (term ${read(line, 'term')}), ${read(line, 'jobAgeMs')} ms after the job was accepted${rest}.`,
    );
    for (const task of again) {
      const reason =
        this.#stops.get(task) ?? 'the run before failed, lapsed or was lost with its worker';
      this.#sentences.push(`${task} runs again: ${reason}.`);
      this.#stops.delete(task);
    }
  }

  #tellStop(line: LogLine): void {
    const reason = read(line, 'reason');
    const stop = `run ${read(line, 'run')} was stopped on ${read(line, 'worker')} (${reason}, ${read(line, 'outcome')})`;
    this.#stops.set(read(line, 'task'), stop);
    if (reason !== 'preempted') this.#sentences.push(`${read(line, 'task')}: ${stop}.`);
  }
}

/**
 * Explains what the logs of all hosts say about a request.
 *
 * @param log - lines of all hosts by time
 * @param request - id of the request
 * @returns the lines that concern it, changes of the leader meanwhile included, and sentences
 */
export const explainLog = (log: readonly LogLine[], request: string): LogExplanation => {
  const own = log.filter((line) => concerns(line, request));
  const first = own[0]?.timeMs ?? Infinity;
  const last = own.at(-1)?.timeMs ?? -Infinity;
  const isNear = ({ timeMs }: LogLine): boolean =>
    timeMs >= first - leaderMarginMs && timeMs <= last + leaderMarginMs;
  const lines = log.filter(
    (line) => concerns(line, request) || (leaderEvents.has(line.event) && isNear(line)),
  );
  const narrator = new Narrator();
  for (const line of lines) narrator.tell(line);
  return { lines, sentences: narrator.sentences };
};
