import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';
import { join } from 'node:path';
import { findProgram } from './findProgram.js';

/** How the process of a host is started. */
interface HostProcessOptions {
  /** Whether its output is appended to a file of the folder; otherwise only its errors are shown. */
  readonly keepsOutput?: boolean;
  /** Options of Node.js. */
  readonly nodeOptions?: string;
}

/**
 * Starts the process of a host on the users' platform.
 *
 * @param folder - folder with its settings file
 * @param name - name of the host, also that of its settings file
 * @param options - output and options of Node.js
 * @returns the process
 */
export const startHostProcess = (
  folder: string,
  name: string,
  { keepsOutput = false, nodeOptions }: HostProcessOptions,
): ChildProcess => {
  const output = keepsOutput ? openSync(join(folder, `${name}.log`), 'a') : undefined;
  const child = spawn(process.execPath, [findProgram('platform', 'toucanline-host')], {
    env: {
      ...process.env,
      TOUCANLINE_NODE_FILE: join(folder, `${name}.conf`),
      ...(nodeOptions === undefined ? {} : { NODE_OPTIONS: nodeOptions }),
    },
    stdio: ['ignore', output ?? 'ignore', output ?? 'inherit'],
  });
  // The process has a descriptor of its own.
  if (output !== undefined) closeSync(output);
  return child;
};
