import type { Assignment } from '@toucanline/schema';

/** Tracks what the model workers run and records violations of the execution guarantees. */
export class ExecutionChecker {
  readonly #running = new Map<string, string>();
  readonly #starts = new Map<string, number>();
  readonly #notRun = new Set<string>();
  readonly #violations: string[] = [];

  /** Violations of the guarantees, one sentence each. */
  public get violations(): readonly string[] {
    return this.#violations;
  }

  /** Names of the running tasks, as `request/index`. */
  public get running(): readonly string[] {
    return [...this.#running.keys()];
  }

  /** Records a violation of a guarantee. */
  public recordViolation(detail: string): void {
    this.#violations.push(detail);
  }

  /** Records the start of a task and checks that it runs only once. */
  public recordStart(worker: string, { index, request }: Assignment): void {
    const name = `${request.id}/${index}`;
    const other = this.#running.get(name);
    if (other !== undefined) this.recordViolation(`${name} runs on ${other} and on ${worker}`);
    this.#running.set(name, worker);
    const starts = (this.#starts.get(name) ?? 0) + 1;
    this.#starts.set(name, starts);
    if (starts > 1 && !request.idempotent) this.recordViolation(`${name} started ${starts} times`);
    if (this.#notRun.has(request.id)) this.recordViolation(`${name} started after "ran: no"`);
  }

  /** Records the end of a task. */
  public recordEnd(worker: string, { index, request }: Assignment): void {
    const name = `${request.id}/${index}`;
    if (this.#running.get(name) === worker) this.#running.delete(name);
  }

  /** Checks whether any task of a request ever started. */
  public hasRun(requestId: string): boolean {
    return [...this.#starts.keys()].some((name) => name.startsWith(`${requestId}/`));
  }

  /** Records that a caller was answered that a request did not run, and checks it. */
  public recordNotRun(requestId: string): void {
    if (this.hasRun(requestId)) this.recordViolation(`${requestId} ran but was answered "ran: no"`);
    this.#notRun.add(requestId);
  }
}
