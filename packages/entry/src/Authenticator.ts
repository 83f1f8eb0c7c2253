import type { IncomingMessage } from 'node:http';
import { createFailure, equalsHash, type KeyListAge, type KeyRing } from '@toucanline/core';
import { hashText } from '@toucanline/runtime';
import type { Failure, Key } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { HttpContext } from './HttpContext.js';

const scheme = 'Bearer ';

/** Role that a key may have: `submit` for callers, the others for operators. */
type Role = Key['roles'][number];

/** Authenticates callers and operators by the key in the `Authorization` header. */
export class Authenticator {
  readonly #keyRing: KeyRing;
  readonly #keyListAge: Pick<KeyListAge, 'ageMs'>;
  readonly #operatorKeyHash: string | undefined;

  /**
   * @param keyRing - keys in effect
   * @param keyListAge - time since the keys were last confirmed as the newest
   * @param operatorKeyHash - hash of the operator key in the settings, which has all operator roles; undefined if they
   * have none
   */
  public constructor(
    keyRing: KeyRing,
    keyListAge: Pick<KeyListAge, 'ageMs'>,
    operatorKeyHash: string | undefined,
  ) {
    this.#keyRing = keyRing;
    this.#keyListAge = keyListAge;
    this.#operatorKeyHash = operatorKeyHash;
  }

  /** Whether a key list is loaded, or the store or a peer has confirmed that none exists yet. */
  public get isReady(): boolean {
    return this.#keyRing.list !== undefined || Number.isFinite(this.#keyListAge.ageMs);
  }

  /**
   * Authenticates a request.
   *
   * @param request - the HTTP request
   * @returns the key; undefined if the request has none; `notReady`, `unauthenticated` or `withdrawnKey`
   */
  public authenticate(request: Pick<IncomingMessage, 'headers'>): Result<Key | undefined, Failure> {
    const header = request.headers.authorization;
    if (header === undefined) return ok(undefined);
    if (!header.startsWith(scheme)) {
      return err(createFailure('unauthenticated', 'the Authorization header has no bearer key'));
    }
    const hash = hashText(header.slice(scheme.length));
    const operatorHash = this.#operatorKeyHash;
    if (operatorHash !== undefined && equalsHash(hash, operatorHash)) {
      return ok({ id: 'operator', hash, grantedAtMs: 0, roles: ['read', 'change', 'promote'] });
    }
    if (!this.isReady) return err(createFailure('notReady', 'the API keys are not loaded yet', 1));
    return this.#keyRing.authenticate(hash);
  }

  /**
   * Authenticates an operator and checks the role; sends the failure as the response if either fails.
   *
   * @param context - the HTTP request and its response
   * @param role - role that the operation needs
   * @returns the key; undefined if the response has been sent
   */
  public authorize(context: HttpContext, role: Role): Key | undefined {
    const key = this.requireRole(context.request, role);
    if (key.isOk()) return key.value;
    context.sendFailure(key.error);
    return undefined;
  }

  /**
   * Authenticates an operator and checks the role.
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
