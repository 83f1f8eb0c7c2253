import type { IncomingMessage } from 'node:http';
import { createFailure, equalsHash, type KeyListAge, type KeyRing } from '@toucanline/core';
import { hashText } from '@toucanline/runtime';
import type { Failure, Key } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { HttpContext } from './HttpContext.js';

const scheme = 'Bearer ';

/** Roles of operators. */
type Role = Key['roles'][number];

/** Authenticates callers and operators by the key in the `Authorization` header. */
export class Authenticator {
  readonly #keyRing: KeyRing;
  readonly #keyListAge: Pick<KeyListAge, 'ageMs'>;
  readonly #operatorKeyHash: string | undefined;

  /**
   * @param keyRing - keys in effect
   * @param keysContact - time since the keys were last known to be the newest
   * @param operatorKeyHash - hash of the key with all operator roles from the settings, if any
   */
  public constructor(
    keyRing: KeyRing,
    keysContact: Pick<KeyListAge, 'ageMs'>,
    operatorKeyHash: string | undefined,
  ) {
    this.#keyRing = keyRing;
    this.#keyListAge = keysContact;
    this.#operatorKeyHash = operatorKeyHash;
  }

  /** Whether the keys are loaded, or it is known that none were granted. */
  public get isReady(): boolean {
    return this.#keyRing.list !== undefined || Number.isFinite(this.#keyListAge.ageMs);
  }

  /**
   * Authenticates a request.
   *
   * @param request - the HTTP request
   * @returns the key; undefined if none was presented; `notReady`, `unauthenticated` or `withdrawnKey`
   */
  public authenticate(request: Pick<IncomingMessage, 'headers'>): Result<Key | undefined, Failure> {
    const header = request.headers.authorization;
    if (header === undefined) return ok(undefined);
    if (!header.startsWith(scheme)) {
      return err(createFailure('unauthenticated', 'the Authorization header is not a bearer key'));
    }
    const hash = hashText(header.slice(scheme.length));
    const operatorHash = this.#operatorKeyHash;
    if (operatorHash !== undefined && equalsHash(hash, operatorHash)) {
      return ok({ id: 'operator', hash, grantedAtMs: 0, roles: ['read', 'change', 'promote'] });
    }
    if (!this.isReady) return err(createFailure('notReady', 'the keys are not known yet', 1));
    return this.#keyRing.authenticate(hash);
  }

  /**
   * Authenticates an operator and answers the exchange if that fails.
   *
   * @param context - the HTTP exchange
   * @param role - role that the operation needs
   * @returns the key; undefined if the exchange is answered
   */
  public authorize(context: HttpContext, role: Role): Key | undefined {
    const key = this.requireRole(context.request, role);
    if (key.isOk()) return key.value;
    context.sendFailure(key.error);
    return undefined;
  }

  /**
   * Authenticates an operator.
   *
   * @param request - the HTTP request
   * @param role - role that the operation needs
   * @returns the key; `notReady`, `unauthenticated`, `withdrawnKey` or `forbidden`
   */
  public requireRole(request: IncomingMessage, role: Role): Result<Key, Failure> {
    return this.authenticate(request).andThen((key) => {
      if (key === undefined) return err(createFailure('unauthenticated', 'a key is required'));
      if (key.roles.includes(role)) return ok(key);
      return err(createFailure('forbidden', `the key ${key.id} does not have the role ${role}`));
    });
  }
}
