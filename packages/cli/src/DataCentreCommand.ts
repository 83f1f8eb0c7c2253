import { userInfo } from 'node:os';
import { Args, Flags } from '@oclif/core';
import { validators, type DataCentreView } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { readDataCentre } from './readDataCentre.js';

/** Declaration about a data centre and the flags of the operator. */
interface DeclarationProposal {
  readonly dataCentre: string;
  readonly state: 'lost' | 'returned';
  /** Whether the declaration is confirmed. */
  readonly yes: boolean;
  readonly note?: string | undefined;
}

/** Base of the commands that declare the state of a data centre after describing the effect. */
export abstract class DataCentreCommand extends BaseCommand {
  protected static readonly declarationFlags = {
    yes: Flags.boolean({
      summary: 'Make the declaration. Without this flag, only its effect is shown.',
    }),
    note: Flags.string({ summary: 'Reason, stored with the declaration.' }),
  };

  protected static readonly declarationArgs = {
    name: Args.string({ description: 'Name of the data centre.', required: true }),
  };

  /**
   * Shows the effect of a declaration, and makes it if it is confirmed. Otherwise ends the command with
   * {@link exitCodes.notConfirmed}.
   *
   * @param environment - environment of the data centre
   * @param proposal - proposed declaration
   * @param describeEffect - describes the effect of the declaration, one line of text per item
   * @returns the data centre after the declaration
   */
  protected async declareState(
    { name, client, settings }: ReturnType<BaseCommand['openEnvironment']>,
    { dataCentre, state, yes, note }: DeclarationProposal,
    describeEffect: (view: DataCentreView) => readonly string[],
  ): Promise<DataCentreView> {
    const view = this.unwrapOrFail(await readDataCentre(client, dataCentre));
    for (const line of describeEffect(view)) this.log(line);
    this.requireConfirmation(yes);
    const body = {
      state,
      author: settings.author ?? userInfo().username,
      ifGeneration: view.generation,
      ...(note === undefined ? {} : { note }),
    };
    const declared = this.unwrapOrFail(
      await client.send({
        method: 'PUT',
        path: `/v1/datacentres/${encodeURIComponent(dataCentre)}`,
        body,
        isRepeatable: true,
        validator: validators.DataCentreView,
      }),
    );
    this.log(`Data centre ${dataCentre} is now declared ${state} in ${name}.`);
    return declared;
  }
}
