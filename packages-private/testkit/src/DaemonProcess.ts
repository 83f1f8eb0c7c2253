import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import type { ProcessSettings } from '@toucanline/schema';
import { stringify } from 'smol-toml';
import { findProgram } from './findProgram.js';

const programs = {
  entry: findProgram('entry', 'toucanline-entry'),
  scheduler: findProgram('scheduler', 'toucanline-scheduler'),
};
const maxLogLines = 5000;
/** On a busy machine, the start of a process took up to 14 s. */
const startTimeoutMs = 40_000;

/** A daemon that runs as a separate process. */
export class DaemonProcess {
  public readonly settings: ProcessSettings;
  readonly #child: ChildProcess;
  readonly #folder: string;
  readonly #log: string[] = [];
  readonly #exit: Promise<number | null>;

  /**
   * @param role - role of the daemon
   * @param settings - its settings
   */
  public constructor(role: 'entry' | 'scheduler', settings: ProcessSettings) {
    this.settings = settings;
    this.#folder = mkdtempSync(join(tmpdir(), 'toucanline-'));
    const file = join(this.#folder, 'settings.toml');
    writeFileSync(file, stringify(settings));
    this.#child = spawn(process.execPath, [programs[role], '--settings', file], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [this.#child.stdout, this.#child.stderr]) {
      if (stream === null) continue;
      createInterface({ input: stream }).on('line', (line) => {
        this.#log.push(line);
        if (this.#log.length > maxLogLines) this.#log.splice(0, this.#log.length - maxLogLines);
      });
    }
    this.#exit = new Promise((resolve) => {
      this.#child.once('exit', (code) => {
        rmSync(this.#folder, { recursive: true, force: true });
        resolve(code);
      });
    });
  }

  /** Most recent log lines, newest last. */
  public get log(): readonly string[] {
    return this.#log;
  }

  /** Base URL of the HTTP interface. */
  public get url(): string {
    const { host, port } = this.settings.http;
    return `http://${host}:${port}`;
  }

  /** Process id. */
  public get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Whether the process is still running. */
  public get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Promise of the exit code; null if a signal ended the process. */
  public get exit(): Promise<number | null> {
    return this.#exit;
  }

  /**
   * Waits until the process answers a health endpoint with 200.
   *
   * @param path - path of the endpoint
   * @throws Error if it does not within the start timeout; the message has the last log lines
   */
  public async waitUntilHealthy(path = '/readyz'): Promise<void> {
    const endsAt = performance.now() + startTimeoutMs;
    // Another process may answer at the address if this one could not bind it.
    while (this.isRunning && performance.now() < endsAt) {
      try {
        const response = await fetch(this.url + path);
        await response.text();
        if (response.ok) return;
      } catch {
        // The process is not listening yet.
      }
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error(
      `${this.settings.process} did not become healthy:\n${this.#log.slice(-20).join('\n')}`,
    );
  }

  /**
   * Sends a signal.
   *
   * @param signal - SIGTERM stops gracefully, SIGKILL kills, SIGSTOP pauses, SIGCONT resumes
   */
  public signal(signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): void {
    this.#child.kill(signal);
  }
}
