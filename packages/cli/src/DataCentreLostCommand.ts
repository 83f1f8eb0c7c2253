import { describeLoss } from '@toucanline/core/describeLoss';
import type { DataCentreView } from '@toucanline/schema';
import { DataCentreCommand } from './DataCentreCommand.js';

/** `toucanline datacentre lost`. */
export class DataCentreLostCommand extends DataCentreCommand {
  public static override readonly summary =
    'Declares a data centre lost, so that others take its work over. Role: change; promote in production.';

  public static override readonly examples = [
    'toucanline datacentre lost dc2',
    'toucanline datacentre lost dc2 --note "fire in hall 2" --yes',
  ];

  public static override readonly args = DataCentreCommand.declarationArgs;

  public static override readonly flags = DataCentreCommand.declarationFlags;

  /** {@inheritDoc} */
  public override async run(): Promise<DataCentreView> {
    const { args, flags } = await this.parse(DataCentreLostCommand);
    const declaration = {
      dataCentre: args.name,
      state: 'lost',
      yes: flags.yes,
      note: flags.note,
    } as const;
    const view = await this.declareState(this.open(flags), declaration, describeLoss);
    this.log('Others take its work over within seconds: toucanline timeline --since 1m.');
    return view;
  }
}
