import { findProgram } from './findProgram.js';
import { runProgram } from './runProgram.js';

const program = findProgram('cli', 'toucanline');

/**
 * Runs the `toucanline` command as a separate process.
 *
 * @param args - command-line arguments
 * @returns exit code and output
 */
export const runCommandLine = (...args: readonly string[]): ReturnType<typeof runProgram> =>
  runProgram(program, ...args);
