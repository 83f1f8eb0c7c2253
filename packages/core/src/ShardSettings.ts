import type { KeyRing } from './KeyRing.js';
import type { Policy } from './Policy.js';

/** Current policy and keys for the components of one shard. */
export class ShardSettings {
  #policy: Policy;
  #keyRing: Pick<KeyRing, 'isWithdrawn'> | undefined;

  /** @param policy - current policy */
  public constructor(policy: Policy) {
    this.#policy = policy;
  }

  /** Current policy. */
  public get policy(): Policy {
    return this.#policy;
  }

  /** Current keys; undefined until they are known. */
  public get keyRing(): Pick<KeyRing, 'isWithdrawn'> | undefined {
    return this.#keyRing;
  }

  /**
   * Sets the policy of a new revision of the configuration.
   *
   * @param policy - new policy
   */
  public applyPolicy(policy: Policy): void {
    this.#policy = policy;
  }

  /**
   * Sets a new list of keys.
   *
   * @param keyRing - new keys
   */
  public applyKeys(keyRing: Pick<KeyRing, 'isWithdrawn'>): void {
    this.#keyRing = keyRing;
  }
}
