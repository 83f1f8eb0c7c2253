import type { SiteConfiguration, WorkerEntry } from '@toucanline/schema';

/** Decodes what the operator and the workers write into the platform's store, and names its keys. */
export abstract class StoreDecoder {
  /** Key of the operator's configuration. */
  public abstract readonly configurationKey: string;
  /** Prefix of the workers' entries. */
  public abstract readonly workerPrefix: string;

  /**
   * Decodes a configuration.
   *
   * @param value - value of the item
   * @returns the configuration; undefined if it cannot be read
   */
  public abstract decodeConfiguration(value: string): SiteConfiguration | undefined;

  /**
   * Decodes a worker's entry.
   *
   * @param key - key of the item
   * @param value - value of the item
   * @returns the entry; undefined if it names no worker to use
   */
  public abstract decodeWorker(key: string, value: string): WorkerEntry | undefined;
}
