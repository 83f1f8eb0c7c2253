import { Command, Errors, Flags } from '@oclif/core';
import { loadSettings } from '@toucanline/runtime/loadSettings';
import { validators, type ClientEnvironment, type ClientSettings } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import { EntryClient } from './EntryClient.js';
import { exitCodes } from './exitCodes.js';

/** An environment that a command works on. */
interface Environment {
  readonly name: string;
  readonly settings: ClientSettings;
  readonly client: EntryClient;
}

/** Flags that every command has. */
interface CommonFlags {
  readonly settings?: string | undefined;
  readonly environment?: string | undefined;
}

/**
 * What all commands have in common. Exit codes: 0 done, 1 unexpected error, 2 invalid usage, settings
 * or document, 3 refused, 4 no entry answers, 5 not confirmed with `--yes`, 6 request not succeeded.
 */
export abstract class BaseCommand extends Command {
  public static override readonly enableJsonFlag = true;

  public static override readonly baseFlags = {
    settings: Flags.string({
      summary: 'Settings file (TOML) with the environments.',
      env: 'TOUCANLINE_SETTINGS',
      helpGroup: 'GLOBAL',
    }),
    environment: Flags.string({
      summary: 'Environment of the settings file to work on.',
      env: 'TOUCANLINE_ENVIRONMENT',
      helpGroup: 'GLOBAL',
    }),
    help: Flags.help({ helpGroup: 'GLOBAL' }),
  };

  /** Clients to close at the end, so that no open connection keeps the process alive. */
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
   * Opens an environment.
   *
   * @param flags - flags of the command
   * @param wanted - name of the environment; that of the flags if absent
   * @returns the environment
   */
  protected open(flags: CommonFlags, wanted = flags.environment): Environment {
    const settings = this.#loadSettings(flags);
    const names = Object.keys(settings.environments);
    const name = wanted ?? (names.length === 1 ? names[0] : undefined);
    const known = `The settings have: ${names.join(', ')}.`;
    if (name === undefined) {
      return this.fail({
        message: 'it is not clear which environment is meant',
        next: `Add --environment NAME. ${known}`,
        exit: exitCodes.invalid,
      });
    }
    const environment: ClientEnvironment | undefined = settings.environments[name];
    if (environment === undefined) {
      return this.fail({
        message: `there is no environment ${name}`,
        next: known,
        exit: exitCodes.invalid,
      });
    }
    const client = new EntryClient(environment);
    this.#clients.push(client);
    return { name, settings, client };
  }

  /**
   * Opens the environment that the settings name as trial or production.
   *
   * @param flags - flags of the command
   * @param role - which one
   * @returns the environment
   */
  protected openEnvironmentByRole(flags: CommonFlags, role: 'trial' | 'production'): Environment {
    const name = this.#loadSettings(flags)[role];
    if (name !== undefined) return this.open(flags, name);
    return this.fail({
      message: `the settings do not say which environment is ${role}`,
      next: `Add a line such as ${role} = "NAME" at the top of the settings file.`,
      exit: exitCodes.invalid,
    });
  }

  /**
   * Takes the value of a result, or ends the command.
   *
   * @param result - the result
   * @returns the value
   */
  protected unwrapOrFail<Value>(result: Result<Value, ClientFailure>): Value {
    return result.isOk() ? result.value : this.fail(result.error);
  }

  /**
   * Ends the command with an error.
   *
   * @param failure - the error
   */
  protected fail({ message, next, exit, problem }: ClientFailure): never {
    const current = problem?.current;
    const lines =
      current === undefined ? [] : [`Changed by ${current.author}:`, ...current.changes];
    const error = new Errors.CLIError([message, ...lines].join('\n'), {
      exit,
      suggestions: [next],
    });
    throw Object.assign(error, { next, problem });
  }

  /**
   * Ends the command unless the change is confirmed.
   *
   * @param confirmed - value of `--yes`
   */
  protected requireConfirmation(confirmed: boolean): void {
    if (confirmed) return;
    this.fail({
      message: 'nothing was changed, because the change is not confirmed',
      next: 'Run the command again with --yes.',
      exit: exitCodes.notConfirmed,
    });
  }

  #loadSettings(flags: CommonFlags): ClientSettings {
    if (flags.settings === undefined) {
      return this.fail({
        message: 'no settings file was given',
        next: 'Add --settings FILE or set TOUCANLINE_SETTINGS.',
        exit: exitCodes.invalid,
      });
    }
    const settings = loadSettings(flags.settings, validators.ClientSettings);
    if (settings.isOk()) return settings.value;
    return this.fail({
      message: settings.error.detail,
      next: 'Correct the settings file; docs/reference/settings.md lists its keys.',
      exit: exitCodes.invalid,
    });
  }
}
