import { validateValue } from '@toucanline/core/validateValue';
import { validators, type ClientEnvironment, type Validator } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Agent } from 'undici';
import type { ClientFailure } from './ClientFailure.js';
import { exitCodes } from './exitCodes.js';
import { suggestNextStep } from './suggestNextStep.js';

const connectTimeoutMs = 2000;
const defaultRequestTimeoutMs = 10_000;

/** Error codes of a connection that was never established, so the entry did not receive the request. */
const unsentErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** HTTP request to an entry. */
interface EntryRequest<Value> {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Timeout of the attempt at one entry, in milliseconds; 10,000 by default. */
  readonly timeoutMs?: number;
  /** Whether the request may be sent to another entry although the first one may have received it. */
  readonly isRepeatable: boolean;
  /** Checks the shape of the response body. */
  readonly validator: Validator<Value>;
}

/** Failure of a request to one entry, and whether the request may be sent to the next entry. */
interface EntryFailure extends ClientFailure {
  readonly canTryNextEntry: boolean;
}

/** HTTP client for the entries of one environment, tried in the order of the settings. */
export class EntryClient {
  readonly #environment: ClientEnvironment;
  #agent: Agent | undefined;

  /** @param environment - base URLs of the entries and API key */
  public constructor(environment: ClientEnvironment) {
    this.#environment = environment;
  }

  /** Base URLs of the entries, in the order of the settings. */
  public get entries(): readonly string[] {
    return this.#environment.entries;
  }

  /**
   * Sends a request to the entries in turn, until one answers, or fails in a way that forbids
   * trying the next.
   *
   * @param entryRequest - request to send
   * @returns the validated response body, or the failures of all attempts as one
   */
  public async send<Value>(
    entryRequest: EntryRequest<Value>,
  ): Promise<Result<Value, ClientFailure>> {
    const failures: EntryFailure[] = [];
    for (const entry of this.entries) {
      const result = await this.sendTo(entry, entryRequest);
      if (result.isOk()) return ok(result.value);
      failures.push(result.error);
      if (!result.error.canTryNextEntry) break;
    }
    const lastFailure = failures.at(-1);
    const message = failures.map((failure) => failure.message).join('\n');
    return err({
      message,
      next: lastFailure?.next ?? 'Add an entry to the environment in the settings file.',
      exitCode: lastFailure?.exitCode ?? exitCodes.noAnswer,
      ...(lastFailure?.problem === undefined ? {} : { problem: lastFailure.problem }),
    });
  }

  /**
   * Sends a request to one entry.
   *
   * @param entry - base URL of the entry
   * @param entryRequest - request to send
   * @returns the validated response body, or the failure
   */
  public async sendTo<Value>(
    entry: string,
    entryRequest: EntryRequest<Value>,
  ): Promise<Result<Value, EntryFailure>> {
    const { method, path, body, isRepeatable, timeoutMs = defaultRequestTimeoutMs } = entryRequest;
    const { key } = this.#environment;
    try {
      // Loaded on demand, since loading it takes a sixth of the start time of a command that works offline.
      const { Agent, request } = await import('undici');
      this.#agent ??= new Agent({ connect: { timeout: connectTimeoutMs } });
      const response = await request(entry.replace(/\/$/, '') + path, {
        method,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(timeoutMs),
        headers: {
          ...entryRequest.headers,
          ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      return this.#parseResponse(entry, entryRequest, await response.body.text());
    } catch (error) {
      const code = error instanceof Error && 'code' in error ? String(error.code) : String(error);
      return err({
        message: `${entry} does not answer: ${code}`,
        next: 'Check that the entry is running and that `entries` of the environment in the settings file is correct.',
        exitCode: exitCodes.noAnswer,
        canTryNextEntry: isRepeatable || unsentErrorCodes.has(code),
      });
    }
  }

  /** Closes all connections and fails requests in flight. */
  public async close(): Promise<void> {
    await this.#agent?.destroy();
  }

  #parseResponse<Value>(
    entry: string,
    { validator, isRepeatable }: EntryRequest<Value>,
    text: string,
  ): Result<Value, EntryFailure> {
    let data: unknown;
    try {
      data = JSON.parse(text);
    } catch {
      data = undefined;
    }
    if (validators.Problem(data)) {
      const details = data.invalid ?? [data.detail];
      return err({
        message: [`${data.title} (ran: ${data.ran})`, ...details].join('\n'),
        next: suggestNextStep(data.title),
        exitCode: data.title === 'invalidDocument' ? exitCodes.invalid : exitCodes.refused,
        problem: data,
        canTryNextEntry: isRepeatable && data.title === 'notReady',
      });
    }
    return validateValue(validator, data, 'internal').mapErr(({ detail }) => ({
      message: `${entry} sent an unexpected response: ${detail}`,
      next: 'Check that the URL is that of an entry and that it runs the same version as this command.',
      exitCode: exitCodes.unexpected,
      canTryNextEntry: isRepeatable,
    }));
  }
}
