import type { Configuration, Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { createFailure } from './createFailure.js';
import type { EventRecorder } from './EventRecorder.js';
import { parseDocument } from './parseDocument.js';
import { Policy } from './Policy.js';

/** Holds the newest configuration revision that a process knows. The revision never decreases. */
export class ConfigurationHolder {
  readonly #recorder: EventRecorder;
  #configuration: Configuration | undefined;
  #policy: Policy | undefined;

  /** @param recorder - records an event for each applied revision */
  public constructor(recorder: EventRecorder) {
    this.#recorder = recorder;
  }

  /** Revision in effect; 0 before the first one. */
  public get revision(): number {
    return this.#configuration?.revision ?? 0;
  }

  /** Configuration in effect, if any. */
  public get configuration(): Configuration | undefined {
    return this.#configuration;
  }

  /** Policy in effect, if any. */
  public get policy(): Policy | undefined {
    return this.#policy;
  }

  /**
   * Applies a configuration from the store or from a peer if it is newer than the one in effect.
   *
   * @param configuration - the configuration
   * @returns true if it was applied; false if it is not newer; `invalidDocument` if it cannot be parsed
   */
  public apply(configuration: Configuration): Result<boolean, Failure> {
    if (configuration.revision <= this.revision) return ok(false);
    const parsed = parseDocument(configuration.text);
    if (parsed.isErr()) return err(createFailure('invalidDocument', parsed.error.detail));
    this.#configuration = configuration;
    this.#policy = new Policy(parsed.value);
    this.#recorder.record('revisionApplied', { revision: configuration.revision });
    return ok(true);
  }
}
