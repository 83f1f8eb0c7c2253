import { validateValue } from '@toucanline/core/validateValue';
import { validators, type ClientEnvironment, type Validator } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Agent } from 'undici';
import type { ClientFailure } from './ClientFailure.js';
import { exitCodes } from './exitCodes.js';
import { suggestNextStep } from './suggestNextStep.js';

const connectTimeoutMs = 2000;
const defaultRequestTimeoutMs = 10_000;

/** Errors that prove that an entry did not get the request. */
const unsentErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** A request to an entry. */
interface EntryRequest<Value> {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
  /** Whether it may be sent to another entry although the first one may have got it. */
  readonly mayRepeat: boolean;
  readonly validator: Validator<Value>;
}

/** Failure of one entry, and whether another one may be asked. */
interface EntryFailure extends ClientFailure {
  readonly mayMoveOn: boolean;
}

/** HTTP client of the entries of one environment. */
export class EntryClient {
  readonly #environment: ClientEnvironment;
  #agent: Agent | undefined;

  /** @param settings - entries and key of the environment */
  public constructor(settings: ClientEnvironment) {
    this.#environment = settings;
  }

  /** Base URLs of the entries. */
  public get entries(): readonly string[] {
    return this.#environment.entries;
  }

  /**
   * Sends a request to the first entry that answers.
   *
   * @param wanted - the request
   * @returns the validated answer, or why there is none
   */
  public async send<Value>(wanted: EntryRequest<Value>): Promise<Result<Value, ClientFailure>> {
    const failures: EntryFailure[] = [];
    for (const entry of this.entries) {
      const result = await this.sendTo(entry, wanted);
      if (result.isOk()) return ok(result.value);
      failures.push(result.error);
      if (!result.error.mayMoveOn) break;
    }
    const last = failures.at(-1);
    const message = failures.map((failure) => failure.message).join('\n');
    return err({
      message,
      next: last?.next ?? 'Add an entry to the settings.',
      exit: last?.exit ?? exitCodes.noAnswer,
      ...(last?.problem === undefined ? {} : { problem: last.problem }),
    });
  }

  /**
   * Sends a request to one entry.
   *
   * @param entry - base URL
   * @param wanted - the request
   * @returns the validated answer, or why there is none
   */
  public async sendTo<Value>(
    entry: string,
    wanted: EntryRequest<Value>,
  ): Promise<Result<Value, EntryFailure>> {
    const { method, path, body, mayRepeat, timeoutMs = defaultRequestTimeoutMs } = wanted;
    const { key } = this.#environment;
    try {
      // Loaded on demand: it takes a sixth of the start of a command that works offline.
      const { Agent, request } = await import('undici');
      this.#agent ??= new Agent({ connect: { timeout: connectTimeoutMs } });
      const response = await request(entry.replace(/\/$/, '') + path, {
        method,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(timeoutMs),
        headers: {
          ...wanted.headers,
          ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      return this.#parseResponse(entry, wanted, await response.body.text());
    } catch (error) {
      const code = error instanceof Error && 'code' in error ? String(error.code) : String(error);
      return err({
        message: `${entry} does not answer: ${code}`,
        next: 'Check `entries` of the environment in the settings file, and that the entries run.',
        exit: exitCodes.noAnswer,
        mayMoveOn: mayRepeat || unsentErrorCodes.has(code),
      });
    }
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    await this.#agent?.destroy();
  }

  #parseResponse<Value>(
    entry: string,
    { validator, mayRepeat }: EntryRequest<Value>,
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
        exit: data.title === 'invalidDocument' ? exitCodes.invalid : exitCodes.refused,
        problem: data,
        mayMoveOn: mayRepeat && data.title === 'notReady',
      });
    }
    return validateValue(validator, data, 'internal').mapErr(({ detail }) => ({
      message: `${entry} gave an unexpected answer: ${detail}`,
      next: 'Check that the URL belongs to an entry of the same version.',
      exit: exitCodes.unexpected,
      mayMoveOn: mayRepeat,
    }));
  }
}
