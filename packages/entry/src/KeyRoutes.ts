import { createFailure, KeyEditor, validateValue } from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';
import {
  validators,
  type Failure,
  type Key,
  type KeyGrant,
  type KeyView,
  type KeyViews,
} from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Authenticator } from './Authenticator.js';
import type { HttpContext } from './HttpContext.js';
import { readJsonBody } from './readJsonBody.js';

const maxBodyBytes = 16_384;

const omitHash = ({ hash: _hash, ...view }: Key): KeyView => view;

/** HTTP routes for API keys. Hashes enter, but never leave. */
export class KeyRoutes {
  readonly #runtime: ProcessRuntime;
  readonly #authenticator: Authenticator;
  readonly #editor: KeyEditor;

  /**
   * @param runtime - the process
   * @param authenticator - authenticates operators
   */
  public constructor(runtime: ProcessRuntime, authenticator: Authenticator) {
    this.#runtime = runtime;
    this.#authenticator = authenticator;
    this.#editor = new KeyEditor(runtime, runtime.settings.environment);
  }

  /**
   * Handles `GET /v1/keys`.
   *
   * @param context - the HTTP exchange
   */
  public async list(context: HttpContext): Promise<void> {
    if (!this.#authenticator.authorize(context, 'read')) return;
    const result = await this.#editor.readKeys();
    if (result.isErr()) {
      context.sendFailure(result.error);
      return;
    }
    const { revision, keys } = result.value;
    const views: KeyViews = { revision, keys: keys.map(omitHash) };
    context.sendJson(200, views);
  }

  /**
   * Handles `POST /v1/keys`.
   *
   * @param context - the HTTP exchange
   */
  public async grant(context: HttpContext): Promise<void> {
    const operator = this.#authenticator.authorize(context, 'change');
    if (operator === undefined) return;
    const body = await readJsonBody(context.request, maxBodyBytes);
    const grant = body
      .andThen((data) => validateValue(validators.KeyGrant, data))
      .andThen((wanted) => this.#checkGrant(operator, wanted));
    if (grant.isErr()) context.sendFailure(grant.error);
    else this.#sendResult(context, await this.#editor.grant(grant.value));
  }

  /**
   * Handles `DELETE /v1/keys/{id}`.
   *
   * @param context - the HTTP exchange
   */
  public async withdraw(context: HttpContext): Promise<void> {
    if (!this.#authenticator.authorize(context, 'change')) return;
    this.#sendResult(context, await this.#editor.withdraw(context.request.params.id ?? ''));
  }

  /** An operator cannot pass on more than it has, and a team has to exist. */
  #checkGrant(operator: Key, grant: KeyGrant): Result<KeyGrant, Failure> {
    const { policy } = this.#runtime.configurationHolder;
    const excess = grant.roles.find((role) => role !== 'submit' && !operator.roles.includes(role));
    if (excess !== undefined) {
      return err(createFailure('forbidden', `the key ${operator.id} lacks the role ${excess}`));
    }
    const teams = Object.keys(policy?.document.teams ?? {});
    if (grant.team !== undefined && policy !== undefined && !teams.includes(grant.team)) {
      const detail = `team: found "${grant.team}"; allowed: ${teams.join(', ')}`;
      return err(createFailure('malformedRequest', detail));
    }
    return ok(grant);
  }

  #sendResult(context: HttpContext, result: Awaited<ReturnType<KeyEditor['grant']>>): void {
    if (result.isErr()) {
      context.sendFailure(result.error);
      return;
    }
    this.#runtime.keyRing.apply(result.value.list);
    context.sendJson(200, omitHash(result.value.key));
  }
}
