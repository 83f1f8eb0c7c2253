import type { LogLine } from './LogLine.js';

/** Lines about one request, and what they say in words. */
interface LogExplanation {
  readonly lines: readonly LogLine[];
  readonly sentences: readonly string[];
}

/** Waits from which a sentence names them, in milliseconds: below, nothing was held up. */
const minReportedWaitMs = 500;
/** How long before and after a request's own lines a change of the leader still matters, in milliseconds. */
const leaderEventMarginMs = 2000;

const leaderEvents: ReadonlySet<string> = new Set([
  'leaderElected',
  'leaderLoaded',
  'leaderDeposed',
]);

const formatField = (line: LogLine, field: string): string => String(line.fields[field] ?? '?');

const isAboutRequest = ({ fields }: LogLine, request: string): boolean => {
  if (fields.request === request) return true;
  return [fields.step, fields.task].some((name) => String(name ?? '').startsWith(`${request}.`));
};

/** Names of the tasks that a line of `tasksPlaced` starts. */
const listStartedTasks = (line: LogLine): readonly string[] =>
  formatField(line, 'placed')
    .split(' ')
    .map((place) => `${formatField(line, 'step')}.${place.split('@')[0] ?? ''}`);

const describeSubmission = (line: LogLine): string => {
  const outcome = formatField(line, 'outcome');
  const where = `${line.process}, with version ${formatField(line, 'configurationVersion')} of the configuration`;
  if (outcome === 'accepted') {
    return `Accepted by ${where}, in ${formatField(line, 'storeMs')} ms, for account "${formatField(line, 'account')}".`;
  }
  return `Not accepted by ${where}: ${outcome} after ${formatField(line, 'storeMs')} ms.`;
};

const describePermits = (line: LogLine): string => {
  const call = `asked through ${formatField(line, 'through')} in ${formatField(line, 'durationMs')} ms`;
  const step = `Step ${formatField(line, 'step')}`;
  const allowed = Number(line.fields.allowed);
  if (allowed < 0) return `${step}: the advice service gave no answer, ${call}.`;
  if (allowed === 0)
    return `${step}: the policy allows none of ${formatField(line, 'asked')} workers, ${call}.`;
  return `${step}: ${allowed} of ${formatField(line, 'asked')} workers allowed, ${call}.`;
};

const describeEvent = (line: LogLine): string | undefined => {
  switch (line.event) {
    case 'jobSubmitted':
      return describeSubmission(line);
    case 'callRefused':
      return `Refused as not run by ${line.process}: ${formatField(line, 'reason')}. Its configuration was confirmed ${formatField(line, 'configurationAgeMs')} ms before, the store last answered ${formatField(line, 'storeSilenceMs')} ms before.`;
    case 'permitsAnswered':
      return describePermits(line);
    case 'startNotConfirmed':
      return `Run ${formatField(line, 'run')} of ${formatField(line, 'task')} was not confirmed by ${formatField(line, 'worker')}: ${formatField(line, 'outcome')} after ${formatField(line, 'answerMs')} ms.`;
    case 'jobCancelled':
      return `Cancelled through ${line.process} (revision ${formatField(line, 'revision')}).`;
    case 'jobFinished':
      return `Shown as ${formatField(line, 'state')} since revision ${formatField(line, 'revision')}.`;
    case 'leaderElected':
      return `${line.process} became leader in term ${formatField(line, 'term')}.`;
    case 'leaderDeposed':
      return `${line.process} no longer led: ${formatField(line, 'reason')}.`;
    default:
      return undefined;
  }
};

/** Says what decided, line after line, and remembers what a later line needs. */
class LogExplainer {
  readonly #sentences: string[] = [];
  /** Why the last run of a task ended early, as far as a line says so. */
  readonly #stopDescriptions = new Map<string, string>();
  readonly #startedTasks = new Set<string>();
  #previousLine: LogLine | undefined;
  #longestWaitMs = 0;
  #longestWaitDescription = '';

  public get sentences(): readonly string[] {
    if (this.#longestWaitMs < minReportedWaitMs) return this.#sentences;
    return [
      ...this.#sentences,
      `The longest wait: ${this.#longestWaitMs} ms, ${this.#longestWaitDescription}.`,
    ];
  }

  public explainLine(line: LogLine): void {
    this.#recordWait(line);
    if (line.event === 'tasksPlaced') this.#explainPlacement(line);
    else if (line.event === 'taskStopped') this.#explainStop(line);
    else {
      const sentence = describeEvent(line);
      if (sentence !== undefined) this.#sentences.push(sentence);
    }
  }

  #recordWait(line: LogLine): void {
    const previous = this.#previousLine;
    this.#previousLine = line;
    if (previous === undefined) return;
    const waitMs = line.timeMs - previous.timeMs;
    if (waitMs <= this.#longestWaitMs) return;
    this.#longestWaitMs = waitMs;
    this.#longestWaitDescription = `between ${previous.event} at ${previous.process} and ${line.event} at ${line.process}`;
  }

  #explainPlacement(line: LogLine): void {
    const tasks = listStartedTasks(line);
    const again = tasks.filter((task) => this.#startedTasks.has(task));
    for (const task of tasks) this.#startedTasks.add(task);
    const waiting = Number(line.fields.stillWaiting);
    const rest = waiting > 0 ? `, ${waiting} still wait for room or a permit` : '';
    this.#sentences.push(
      `Step ${formatField(line, 'step')}: ${tasks.length} tasks started by ${line.process} (term ${formatField(line, 'term')}), ${formatField(line, 'jobAgeMs')} ms after the job was accepted${rest}.`,
    );
    for (const task of again) {
      const reason =
        this.#stopDescriptions.get(task) ??
        'the run before failed, lapsed or was lost with its worker';
      this.#sentences.push(`${task} runs again: ${reason}.`);
      this.#stopDescriptions.delete(task);
    }
  }

  #explainStop(line: LogLine): void {
    const reason = formatField(line, 'reason');
    const stop = `run ${formatField(line, 'run')} was stopped on ${formatField(line, 'worker')} (${reason}, ${formatField(line, 'outcome')})`;
    this.#stopDescriptions.set(formatField(line, 'task'), stop);
    if (reason !== 'preempted') this.#sentences.push(`${formatField(line, 'task')}: ${stop}.`);
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
  const own = log.filter((line) => isAboutRequest(line, request));
  const first = own[0]?.timeMs ?? Infinity;
  const last = own.at(-1)?.timeMs ?? -Infinity;
  const isNear = ({ timeMs }: LogLine): boolean =>
    timeMs >= first - leaderEventMarginMs && timeMs <= last + leaderEventMarginMs;
  const lines = log.filter(
    (line) => isAboutRequest(line, request) || (leaderEvents.has(line.event) && isNear(line)),
  );
  const narrator = new LogExplainer();
  for (const line of lines) narrator.explainLine(line);
  return { lines, sentences: narrator.sentences };
};
