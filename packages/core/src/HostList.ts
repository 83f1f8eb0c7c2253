import type { Failure, HostRecord } from '@toucanline/schema';
import type { Result } from 'neverthrow';

/** The platform's list of live and leaving hosts. It lags behind the actual state. */
export abstract class HostList {
  /**
   * Reads the list.
   *
   * @returns all listed hosts, or a failure if the list cannot be reached
   */
  public abstract read(): Promise<Result<readonly HostRecord[], Failure>>;
}
