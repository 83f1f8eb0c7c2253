import type { LogLine } from './LogLine.js';

/** Log lines about one request, and their explanation in sentences. */
interface LogExplanation {
  readonly lines: readonly LogLine[];
  readonly sentences: readonly string[];
}

/** Shortest gap between consecutive lines that is reported as a wait, in milliseconds. A shorter wait did not hold up the request. */
const minReportedWaitMs = 500;
/** Time before and after the lines of a request in which changes of the leader are included, in milliseconds. */
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

/** Returns the names of the tasks that were started according to a line of the event `tasksPlaced`. */
const listStartedTasks = (line: LogLine): readonly string[] =>
  formatField(line, 'placed')
    .split(' ')
    .map((placement) => `${formatField(line, 'step')}.${placement.split('@')[0] ?? ''}`);

const describeSubmission = (line: LogLine): string => {
  const outcome = formatField(line, 'outcome');
  const host = `${line.process} (configuration version ${formatField(line, 'configurationVersion')})`;
  if (outcome === 'accepted') {
    return `Accepted by ${host} after ${formatField(line, 'storeMs')} ms in the store, for account "${formatField(line, 'account')}".`;
  }
  return `Not accepted by ${host}: ${outcome} after ${formatField(line, 'storeMs')} ms in the store.`;
};

const describePermits = (line: LogLine): string => {
  const callDetails = `requested through ${formatField(line, 'through')} in ${formatField(line, 'durationMs')} ms`;
  const step = `Step ${formatField(line, 'step')}`;
  const allowed = Number(line.fields.allowed);
  if (allowed < 0) return `${step}: the advice service did not answer, ${callDetails}.`;
  if (allowed === 0)
    return `${step}: the advice service permits none of ${formatField(line, 'asked')} workers, ${callDetails}.`;
  return `${step}: the advice service permits ${allowed} of ${formatField(line, 'asked')} workers, ${callDetails}.`;
};

const describeEvent = (line: LogLine): string | undefined => {
  switch (line.event) {
    case 'jobSubmitted':
      return describeSubmission(line);
    case 'callRefused':
      return `Refused by ${line.process} (not run): ${formatField(line, 'reason')}. Its configuration was last confirmed ${formatField(line, 'configurationAgeMs')} ms earlier, and the store last answered ${formatField(line, 'storeSilenceMs')} ms earlier.`;
    case 'permitsAnswered':
      return describePermits(line);
    case 'startNotConfirmed':
      return `The start of run ${formatField(line, 'run')} of ${formatField(line, 'task')} was not confirmed by ${formatField(line, 'worker')}: ${formatField(line, 'outcome')} after ${formatField(line, 'answerMs')} ms.`;
    case 'jobCancelled':
      return `Cancelled through ${line.process} (revision ${formatField(line, 'revision')}).`;
    case 'jobFinished':
      return `Reported as ${formatField(line, 'state')} since revision ${formatField(line, 'revision')}.`;
    case 'leaderElected':
      return `${line.process} became leader in term ${formatField(line, 'term')}.`;
    case 'leaderDeposed':
      return `${line.process} lost leadership: ${formatField(line, 'reason')}.`;
    default:
      return undefined;
  }
};

/** Explains log lines in order, and records what the explanation of a later line needs. */
class LogExplainer {
  readonly #sentences: string[] = [];
  /** Why the previous run of a task was stopped, by name of the task, if a line says so. */
  readonly #stopDescriptions = new Map<string, string>();
  readonly #startedTasks = new Set<string>();
  #previousLine: LogLine | undefined;
  #longestWaitMs = 0;
  #longestWaitDescription = '';

  /** Sentences so far, with the longest wait as the last one if it is long enough. */
  public get sentences(): readonly string[] {
    if (this.#longestWaitMs < minReportedWaitMs) return this.#sentences;
    return [
      ...this.#sentences,
      `Longest wait: ${this.#longestWaitMs} ms, ${this.#longestWaitDescription}.`,
    ];
  }

  /**
   * Adds the explanation of a line.
   *
   * @param line - next line in order of time
   */
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
    const restartedTasks = tasks.filter((task) => this.#startedTasks.has(task));
    for (const task of tasks) this.#startedTasks.add(task);
    const waitingCount = Number(line.fields.stillWaiting);
    const waitingNote =
      waitingCount > 0 ? `; ${waitingCount} still wait for free capacity or a permit` : '';
    this.#sentences.push(
      `Step ${formatField(line, 'step')}: ${tasks.length} tasks started by ${line.process} (term ${formatField(line, 'term')}), ${formatField(line, 'jobAgeMs')} ms after the job was accepted${waitingNote}.`,
    );
    for (const task of restartedTasks) {
      const reason =
        this.#stopDescriptions.get(task) ??
        'the previous run failed, its lease expired or its worker was lost';
      this.#sentences.push(`${task} runs again: ${reason}.`);
      this.#stopDescriptions.delete(task);
    }
  }

  #explainStop(line: LogLine): void {
    const reason = formatField(line, 'reason');
    const stopDescription = `run ${formatField(line, 'run')} was stopped on ${formatField(line, 'worker')} (${reason}, ${formatField(line, 'outcome')})`;
    this.#stopDescriptions.set(formatField(line, 'task'), stopDescription);
    if (reason !== 'preempted')
      this.#sentences.push(`${formatField(line, 'task')}: ${stopDescription}.`);
  }
}

/**
 * Explains what happened to a request according to the logs of all hosts.
 *
 * @param log - lines of all hosts, ordered by time
 * @param request - ID of the request
 * @returns the lines about the request and about changes of the leader near them, and the explanation
 */
export const explainLog = (log: readonly LogLine[], request: string): LogExplanation => {
  const requestLines = log.filter((line) => isAboutRequest(line, request));
  const firstMs = requestLines[0]?.timeMs ?? Infinity;
  const lastMs = requestLines.at(-1)?.timeMs ?? -Infinity;
  const isNear = ({ timeMs }: LogLine): boolean =>
    timeMs >= firstMs - leaderEventMarginMs && timeMs <= lastMs + leaderEventMarginMs;
  const lines = log.filter(
    (line) => isAboutRequest(line, request) || (leaderEvents.has(line.event) && isNear(line)),
  );
  const explainer = new LogExplainer();
  for (const line of lines) explainer.explainLine(line);
  return { lines, sentences: explainer.sentences };
};
