import type { SiteConfiguration, WorkerEntry } from '@toucanline/schema';

/** Decodes the items that the operator and the workers write to the platform's store, and defines their keys. */
export abstract class StoreDecoder {
  /** Key of the operator's site configuration. */
  public abstract readonly configurationKey: string;
  /** Key prefix of the workers' entries. */
  public abstract readonly workerPrefix: string;
  /** Prefix of the keys that evacuate a data centre: the rest of such a key is the name of the data centre. */
  public abstract readonly evacuationPrefix: string;

  /**
   * Decodes a site configuration.
   *
   * @param value - value of the item
   * @returns the configuration; undefined if the value is invalid
   */
  public abstract decodeConfiguration(value: string): SiteConfiguration | undefined;

  /**
   * Decodes a worker's entry.
   *
   * @param key - key of the item
   * @param value - value of the item
   * @returns the entry; undefined if the item does not describe a worker that can be used
   */
  public abstract decodeWorker(key: string, value: string): WorkerEntry | undefined;
}
