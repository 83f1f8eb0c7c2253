import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';

/** Checks that no process of a host ends without a signal of the test. */
export class PlatformExitMonitor {
  readonly #signalled = new Set<ChildProcess>();
  readonly #violations: string[] = [];
  #isStopped = false;

  /** Violated invariants, one sentence each. */
  public get violations(): readonly string[] {
    return this.#violations;
  }

  /**
   * Watches a process.
   *
   * @param name - name of the host
   * @param child - its process
   */
  public watch(name: string, child: ChildProcess): void {
    child.once('exit', (code, signal) => {
      if (this.#isStopped || (this.#signalled.has(child) && (code === 0 || signal !== null)))
        return;
      this.#violations.push(`${name} ended with code ${String(code)}, signal ${String(signal)}`);
    });
  }

  /**
   * Ends a process and waits for its exit.
   *
   * @param child - the process
   * @param signal - signal to send
   */
  public async end(child: ChildProcess, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    if (child.exitCode !== null || child.signalCode !== null) return;
    this.#signalled.add(child);
    const exit = once(child, 'exit');
    child.kill(signal);
    await exit;
  }

  /** Ignores all later exits. */
  public stop(): void {
    this.#isStopped = true;
  }
}
