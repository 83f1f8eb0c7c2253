import { spawn } from 'node:child_process';
import { createRequire } from 'node:module';
import { join } from 'node:path';

const program = createRequire(import.meta.url)
  .resolve('@toucanline/cli')
  .replace(/index\.js$/, join('bin', 'toucanline.js'));

/** What a run of the command line left. */
interface CommandResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/**
 * Runs the command line as a real process.
 *
 * @param args - arguments
 * @returns exit code and output
 */
export const runCommandLine = (...args: readonly string[]): Promise<CommandResult> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, [program, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      // Without a terminal oclif wraps messages at 80 columns, which would split the texts tests look for.
      env: { ...process.env, OCLIF_COLUMNS: '400', NO_COLOR: '1' },
    });
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', (chunk: Buffer) => (stdout += chunk.toString('utf8')));
    child.stderr.on('data', (chunk: Buffer) => (stderr += chunk.toString('utf8')));
    child.once('close', (code) => {
      resolve({ code, stdout, stderr });
    });
  });
