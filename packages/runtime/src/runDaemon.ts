import type { Daemon } from './Daemon.js';
import type { ProcessRuntime } from './ProcessRuntime.js';

/**
 * Runs a daemon until SIGTERM or SIGINT, then stops it gracefully and exits with code 0.
 *
 * @param runtime - runtime of the process
 * @param daemon - the daemon, not started
 */
export const runDaemon = async (runtime: ProcessRuntime, daemon: Daemon): Promise<void> => {
  let isStopping = false;
  const stop = async (signal: string): Promise<void> => {
    if (isStopping) return;
    isStopping = true;
    runtime.recorder.record('processStopping', { detail: signal });
    await daemon.drain();
    await runtime.close();
    runtime.log.flush();
    process.exit(0);
  };
  process.on('SIGTERM', () => void stop('SIGTERM'));
  process.on('SIGINT', () => void stop('SIGINT'));
  // An error that nothing has caught concerns one callback: callers and running work still need the process.
  const logError = (reason: unknown): void => {
    runtime.log.write('error', 'unexpected error', {
      detail: reason instanceof Error ? (reason.stack ?? reason.message) : String(reason),
    });
  };
  process.on('unhandledRejection', logError);
  await daemon.start();
  // An error before this point prevents the start, so it ends the process.
  process.on('uncaughtException', logError);
  runtime.recorder.record('processStarted', {});
};
