import { request } from 'undici';

/**
 * Reads whether a host accepts calls.
 *
 * @param readinessAddress - IP address and port of its readiness
 * @returns whether the host says so
 */
export const isHostReady = async (readinessAddress: string): Promise<boolean> => {
  try {
    const response = await request(`http://${readinessAddress}/ready`, {
      signal: AbortSignal.timeout(5000),
    });
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    // The process is not listening yet, or is paused.
    return false;
  }
};
