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
  process.on('unhandledRejection', (reason) => {
    runtime.log.write('error', 'unhandled rejection', {
      detail: reason instanceof Error ? (reason.stack ?? reason.message) : String(reason),
    });
  });
  await daemon.start();
  runtime.recorder.record('processStarted', {});
};
