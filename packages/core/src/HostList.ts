import type { Failure, HostRecord } from '@toucanline/schema';
import type { Result } from 'neverthrow';

/** The platform's list of live and leaving hosts. It is eventually consistent. */
export abstract class HostList {
  /**
   * Reads the list.
   *
   * @returns all listed hosts, or a failure if the list is unreachable
   */
  public abstract read(): Promise<Result<readonly HostRecord[], Failure>>;
}
