import type { RefusalReason } from '@toucanline/schema';

/** Shortest time between two log lines about refusals at one port for one reason, in milliseconds. */
const lineIntervalMs = 10_000;

/** Refusals since the last log line. */
interface UnreportedRefusals {
  readonly nextLineAt: number;
  readonly count: number;
}

/** Counts refused and closed connections, and logs them at a limited rate. */
export abstract class RefusalReporter {
  readonly #unreported = new Map<string, UnreportedRefusals>();

  /**
   * Reports a refused or closed connection.
   *
   * @param port - name of the port
   * @param reason - reason for the refusal
   */
  public report(port: string, reason: RefusalReason): void {
    this.count(port, reason);
    const key = `${port} ${reason}`;
    const now = performance.now();
    const known = this.#unreported.get(key);
    const count = (known?.count ?? 0) + 1;
    if (known !== undefined && now < known.nextLineAt) {
      this.#unreported.set(key, { ...known, count });
      return;
    }
    this.#unreported.set(key, { nextLineAt: now + lineIntervalMs, count: 0 });
    this.write(port, reason, count);
  }

  /**
   * Counts a refusal in the metrics.
   *
   * @param port - name of the port
   * @param reason - reason for the refusal
   */
  protected abstract count(port: string, reason: RefusalReason): void;

  /**
   * Writes a log line.
   *
   * @param port - name of the port
   * @param reason - reason for the refusals
   * @param connections - number of refusals since the last line
   */
  protected abstract write(port: string, reason: RefusalReason, connections: number): void;
}
