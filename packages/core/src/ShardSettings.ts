import type { KeyRing } from './KeyRing.js';
import type { Policy } from './Policy.js';

/** Policy and keys in effect for the parts of one shard. */
export class ShardSettings {
  #policy: Policy;
  #keyRing: Pick<KeyRing, 'isWithdrawn'> | undefined;

  /** @param policy - policy in effect */
  public constructor(policy: Policy) {
    this.#policy = policy;
  }

  /** Policy in effect. */
  public get policy(): Policy {
    return this.#policy;
  }

  /** Keys in effect; undefined until they are known. */
  public get keyRing(): Pick<KeyRing, 'isWithdrawn'> | undefined {
    return this.#keyRing;
  }

  /**
   * Notes a new revision of the document.
   *
   * @param policy - policy in effect
   */
  public applyPolicy(policy: Policy): void {
    this.#policy = policy;
  }

  /**
   * Notes a new list of keys.
   *
   * @param keyRing - keys in effect
   */
  public applyKeys(keyRing: Pick<KeyRing, 'isWithdrawn'>): void {
    this.#keyRing = keyRing;
  }
}
