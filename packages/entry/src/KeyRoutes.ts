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

/** HTTP routes of the API keys. They accept hashes of keys, but never return them. */
export class KeyRoutes {
  readonly #runtime: ProcessRuntime;
  readonly #authenticator: Authenticator;
  readonly #editor: KeyEditor;

  /**
   * @param runtime - runtime of the process
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
   * @param context - the HTTP request and its response
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
   * @param context - the HTTP request and its response
   */
  public async grant(context: HttpContext): Promise<void> {
    const operator = this.#authenticator.authorize(context, 'change');
    if (operator === undefined) return;
    const body = await readJsonBody(context.request, maxBodyBytes);
    const grant = body
      .andThen((data) => validateValue(validators.KeyGrant, data))
      .andThen((requested) => this.#checkGrant(operator, requested));
    if (grant.isErr()) context.sendFailure(grant.error);
    else this.#sendResult(context, await this.#editor.grant(grant.value));
  }

  /**
   * Handles `DELETE /v1/keys/{id}`.
   *
   * @param context - the HTTP request and its response
   */
  public async withdraw(context: HttpContext): Promise<void> {
    if (!this.#authenticator.authorize(context, 'change')) return;
    this.#sendResult(context, await this.#editor.withdraw(context.request.params.id ?? ''));
  }

  /** Checks that the grant has no role that the operator lacks, and that the team exists. */
  #checkGrant(operator: Key, grant: KeyGrant): Result<KeyGrant, Failure> {
    const { policy } = this.#runtime.configurationHolder;
    const excessRole = grant.roles.find(
      (role) => role !== 'submit' && !operator.roles.includes(role),
    );
    if (excessRole !== undefined) {
      return err(createFailure('forbidden', `the key ${operator.id} lacks the role ${excessRole}`));
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
