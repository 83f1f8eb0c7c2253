import { spawn } from 'node:child_process';

/** Exit code and output of a program; the code is null if a signal ended it. */
interface ProgramResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/**
 * Runs a script as a separate process and waits until it ends.
 *
 * @param path - path of the script
 * @param args - command-line arguments
 * @returns exit code and output
 */
export const runProgram = (path: string, ...args: readonly string[]): Promise<ProgramResult> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, [path, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      // Without a terminal, oclif wraps messages at 80 columns, which would split the texts that tests match.
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
