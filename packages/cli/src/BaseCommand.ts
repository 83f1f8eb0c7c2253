import { Command, Errors, Flags } from '@oclif/core';
import { loadSettings } from '@toucanline/runtime/loadSettings';
import { validators, type ClientEnvironment, type ClientSettings } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import { EntryClient } from './EntryClient.js';
import { exitCodes } from './exitCodes.js';

/** Environment that a command works on, with a client of its entries. */
interface Environment {
  readonly name: string;
  readonly settings: ClientSettings;
  readonly client: EntryClient;
}

/** Flags that every command accepts. */
interface CommonFlags {
  readonly settings?: string | undefined;
  readonly environment?: string | undefined;
}

/**
 * Base of all commands: global flags, settings, environments and errors. Exit codes: 0 success, 1 unexpected
 * error, 2 invalid usage, settings or document, 3 refused, 4 no entry answers, 5 not confirmed with `--yes`,
 * 6 request did not succeed.
 */
export abstract class BaseCommand extends Command {
  public static override readonly enableJsonFlag = true;

  public static override readonly baseFlags = {
    settings: Flags.string({
      summary: 'Path of the settings file (TOML) that defines the environments.',
      env: 'TOUCANLINE_SETTINGS',
      helpGroup: 'GLOBAL',
    }),
    environment: Flags.string({
      summary: 'Name of the environment in the settings file.',
      env: 'TOUCANLINE_ENVIRONMENT',
      helpGroup: 'GLOBAL',
    }),
    help: Flags.help({ helpGroup: 'GLOBAL' }),
  };

  /** Clients to close when the command ends, since an open connection keeps the process alive. */
  readonly #clients: EntryClient[] = [];

  /** {@inheritDoc} */
  protected override async finally(error: Error | undefined): Promise<unknown> {
    await Promise.all(this.#clients.map((client) => client.close()));
    return super.finally(error);
  }

  /** {@inheritDoc} */
  protected override async catch(error: Errors.CLIError): Promise<unknown> {
    process.exitCode = error.oclif.exit ?? exitCodes.unexpected;
    return super.catch(error);
  }

  /**
   * Opens an environment of the settings file. Ends the command with {@link exitCodes.invalid} if the settings
   * are invalid or have no such environment.
   *
   * @param flags - flags of the command
   * @param requestedName - name of the environment; by default the value of `--environment`, or else the only
   * environment in the settings file
   * @returns the environment
   */
  protected openEnvironment(flags: CommonFlags, requestedName = flags.environment): Environment {
    const settings = this.#loadSettings(flags);
    const names = Object.keys(settings.environments);
    const name = requestedName ?? (names.length === 1 ? names[0] : undefined);
    const availableNames = `Available environments: ${names.join(', ')}.`;
    if (name === undefined) {
      return this.fail({
        message: 'no environment specified',
        next: `Pass --environment NAME or set TOUCANLINE_ENVIRONMENT. ${availableNames}`,
        exitCode: exitCodes.invalid,
      });
    }
    const environment: ClientEnvironment | undefined = settings.environments[name];
    if (environment === undefined) {
      return this.fail({
        message: `unknown environment "${name}"`,
        next: availableNames,
        exitCode: exitCodes.invalid,
      });
    }
    const client = new EntryClient(environment);
    this.#clients.push(client);
    return { name, settings, client };
  }

  /**
   * Opens the environment that the settings file assigns to a role. Ends the command with
   * {@link exitCodes.invalid} if it assigns none.
   *
   * @param flags - flags of the command
   * @param role - purpose of the environment: documents are tried in `trial` and promoted to `production`
   * @returns the environment
   */
  protected openEnvironmentByRole(flags: CommonFlags, role: 'trial' | 'production'): Environment {
    const name = this.#loadSettings(flags)[role];
    if (name !== undefined) return this.openEnvironment(flags, name);
    return this.fail({
      message: `the settings file does not define the ${role} environment`,
      next: `Add ${role} = "NAME" at the top of the settings file.`,
      exitCode: exitCodes.invalid,
    });
  }

  /**
   * Returns the value of a successful result, or ends the command with the failure.
   *
   * @param result - result of an operation
   * @returns the value of the result
   */
  protected unwrapOrFail<Value>(result: Result<Value, ClientFailure>): Value {
    return result.isOk() ? result.value : this.fail(result.error);
  }

  /**
   * Ends the command with an error. With `--json`, the printed error has `next` and `problem` of the failure.
   *
   * @param failure - message, suggestion and exit code
   * @throws CLIError always
   */
  protected fail({ message, next, exitCode, problem }: ClientFailure): never {
    const current = problem?.current;
    const changeLines =
      current === undefined ? [] : [`Changes made by ${current.author}:`, ...current.changes];
    const error = new Errors.CLIError([message, ...changeLines].join('\n'), {
      exit: exitCode,
      suggestions: [next],
    });
    throw Object.assign(error, { next, problem });
  }

  /**
   * Ends the command with {@link exitCodes.notConfirmed} unless the change is confirmed.
   *
   * @param isConfirmed - value of `--yes`
   */
  protected requireConfirmation(isConfirmed: boolean): void {
    if (isConfirmed) return;
    this.fail({
      message: 'the change was not confirmed; nothing was changed',
      next: 'Run the command again with --yes to apply it.',
      exitCode: exitCodes.notConfirmed,
    });
  }

  #loadSettings(flags: CommonFlags): ClientSettings {
    if (flags.settings === undefined) {
      return this.fail({
        message: 'no settings file specified',
        next: 'Pass --settings FILE or set TOUCANLINE_SETTINGS.',
        exitCode: exitCodes.invalid,
      });
    }
    const settings = loadSettings(flags.settings, validators.ClientSettings);
    if (settings.isOk()) return settings.value;
    return this.fail({
      message: settings.error.detail,
      next: 'Correct the settings file. All keys are described in docs/reference/settings.md.',
      exitCode: exitCodes.invalid,
    });
  }
}
