import { userInfo } from 'node:os';
import { Args, Flags } from '@oclif/core';
import { validators, type DataCentreView } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { readDataCentre } from './readDataCentre.js';

/** An operator's declaration with its choices. */
interface DeclarationProposal {
  readonly dataCentre: string;
  readonly state: 'lost' | 'returned';
  readonly yes: boolean;
  readonly note?: string | undefined;
}

/** A command that declares something about a data centre after it said what that means. */
export abstract class DataCentreCommand extends BaseCommand {
  protected static readonly declarationFlags = {
    yes: Flags.boolean({ summary: 'Declare it; without it only the meaning is shown.' }),
    note: Flags.string({ summary: 'Why; kept with the declaration.' }),
  };

  protected static readonly declarationArgs = {
    name: Args.string({ description: 'Name of the data centre.', required: true }),
  };

  /**
   * Says what the declaration means and declares it.
   *
   * @param environment - the environment
   * @param declaration - the declaration
   * @param describe - says in plain words what it means
   * @returns the data centre after it
   */
  protected async declareState(
    { name, client, settings }: ReturnType<BaseCommand['open']>,
    { dataCentre, state, yes, note }: DeclarationProposal,
    describe: (view: DataCentreView) => readonly string[],
  ): Promise<DataCentreView> {
    const view = this.unwrapOrFail(await readDataCentre(client, dataCentre));
    for (const line of describe(view)) this.log(line);
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
        mayRepeat: true,
        validator: validators.DataCentreView,
      }),
    );
    this.log(`Data centre ${dataCentre} is declared ${state} in ${name}.`);
    return declared;
  }
}
