import { ConfigurationEditor, createFailure, validateValue } from '@toucanline/core';
import { hashText, type ProcessRuntime } from '@toucanline/runtime';
import {
  validators,
  type Configuration,
  type ConfigurationChange,
  type ConfigurationHistory,
  type ConfigurationSummary,
} from '@toucanline/schema';
import type { Authenticator } from './Authenticator.js';
import type { HttpContext } from './HttpContext.js';
import { readJsonBody } from './readJsonBody.js';

/** The document is at most 900,000 bytes as JSON; larger bodies are read so that the response names the limit. */
const maxBodyBytes = 4_000_000;

/** Maximum length of an author in the schema, in characters. */
const maxAuthorLength = 256;

const summarise = (configuration: Configuration): ConfigurationSummary => {
  const { text: _text, token: _token, ...summary } = configuration;
  return summary;
};

/** HTTP routes of the configuration document. */
export class ConfigurationRoutes {
  readonly #runtime: ProcessRuntime;
  readonly #authenticator: Authenticator;
  readonly #editor: ConfigurationEditor;

  /**
   * @param runtime - runtime of the process
   * @param authenticator - authenticates operators
   */
  public constructor(runtime: ProcessRuntime, authenticator: Authenticator) {
    this.#runtime = runtime;
    this.#authenticator = authenticator;
    const { store, clock, settings } = runtime;
    this.#editor = new ConfigurationEditor({ store, clock, hash: hashText }, settings.environment);
  }

  /**
   * Handles `GET /v1/configuration`.
   *
   * @param context - the HTTP request and its response
   */
  public async read(context: HttpContext): Promise<void> {
    if (!this.#authenticator.authorize(context, 'read')) return;
    const result = await this.#editor.readNewest();
    if (result.isErr()) context.sendFailure(result.error);
    else if (result.value === undefined) {
      context.sendFailure(createFailure('unknownRevision', 'there is no configuration yet'));
    } else context.sendJson(200, result.value);
  }

  /**
   * Handles `GET /v1/configuration/history`.
   *
   * @param context - the HTTP request and its response
   */
  public async readHistory(context: HttpContext): Promise<void> {
    if (!this.#authenticator.authorize(context, 'read')) return;
    const result = await this.#editor.listRevisions();
    if (result.isErr()) {
      context.sendFailure(result.error);
      return;
    }
    const history: ConfigurationHistory = { revisions: result.value.map(summarise) };
    context.sendJson(200, history);
  }

  /**
   * Handles `GET /v1/configuration/{revision}`.
   *
   * @param context - the HTTP request and its response
   */
  public async readRevision(context: HttpContext): Promise<void> {
    if (!this.#authenticator.authorize(context, 'read')) return;
    const { revision = '' } = context.request.params;
    if (!/^\d{1,9}$/.test(revision)) {
      const detail = `revision: found ${revision}; allowed: a number`;
      context.sendFailure(createFailure('malformedRequest', detail));
      return;
    }
    const result = await this.#editor.readRevision(Number(revision));
    if (result.isErr()) context.sendFailure(result.error);
    else context.sendJson(200, result.value);
  }

  /**
   * Handles `PUT /v1/configuration`.
   *
   * @param context - the HTTP request and its response
   */
  public async change(context: HttpContext): Promise<void> {
    const { settings } = this.#runtime;
    const role = settings.production === true ? 'promote' : 'change';
    const operator = this.#authenticator.authorize(context, role);
    if (operator === undefined) return;
    const body = await readJsonBody(context.request, maxBodyBytes);
    const change = body.andThen((data) => validateValue(validators.ConfigurationChange, data));
    if (change.isErr()) {
      context.sendFailure(change.error);
      return;
    }
    // The author is not verified, so the history also records which key was used.
    const suffix = ` (key ${operator.id})`;
    const author = change.value.author.slice(0, maxAuthorLength - suffix.length) + suffix;
    await this.#applyChange(context, { ...change.value, author });
  }

  async #applyChange(context: HttpContext, change: ConfigurationChange): Promise<void> {
    const { configurationHolder } = this.#runtime;
    const result = await this.#editor.applyChange(change);
    if (result.isErr()) {
      const { failure, invalid, current } = result.error;
      context.sendFailure(failure, undefined, {
        ...(invalid === undefined ? {} : { invalid }),
        ...(current === undefined ? {} : { current }),
      });
      return;
    }
    const applied = configurationHolder.apply(result.value);
    if (applied.isErr()) context.sendFailure(createFailure('internal', applied.error.detail));
    else context.sendJson(200, summarise(result.value));
  }
}
