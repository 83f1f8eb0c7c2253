import type { Assignment } from '@toucanline/schema';

/** What the model workers run, and the guarantees that they saw broken. */
export class ExecutionChecker {
  readonly #running = new Map<string, string>();
  readonly #starts = new Map<string, number>();
  readonly #notRun = new Set<string>();
  readonly #violations: string[] = [];

  /** Broken guarantees, one sentence each. */
  public get violations(): readonly string[] {
    return this.#violations;
  }

  /** Names of the running tasks. */
  public get running(): readonly string[] {
    return [...this.#running.keys()];
  }

  /** Notes a broken guarantee. */
  public recordViolation(detail: string): void {
    this.#violations.push(detail);
  }

  /** Notes a start. */
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

  /** Notes the end of a task. */
  public recordEnd(worker: string, { index, request }: Assignment): void {
    const name = `${request.id}/${index}`;
    if (this.#running.get(name) === worker) this.#running.delete(name);
  }

  /** Whether any task of a request ever started. */
  public hasRun(requestId: string): boolean {
    return [...this.#starts.keys()].some((name) => name.startsWith(`${requestId}/`));
  }

  /** Notes that a caller was told that a request did not run. */
  public recordNotRun(requestId: string): void {
    if (this.hasRun(requestId)) this.recordViolation(`${requestId} ran but was answered "ran: no"`);
    this.#notRun.add(requestId);
  }
}
