import { spawn } from 'node:child_process';

/** What a run of a program left. */
interface ProgramResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/**
 * Runs a program as a real process until it ends.
 *
 * @param path - path of the script
 * @param args - arguments
 * @returns exit code and output
 */
export const runProgram = (path: string, ...args: readonly string[]): Promise<ProgramResult> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, [path, ...args], {
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
