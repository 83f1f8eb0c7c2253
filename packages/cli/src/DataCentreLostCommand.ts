import { describeLoss } from '@toucanline/core/describeLoss';
import type { DataCentreView } from '@toucanline/schema';
import { DataCentreCommand } from './DataCentreCommand.js';

/** Command `toucanline datacentre lost`. */
export class DataCentreLostCommand extends DataCentreCommand {
  public static override readonly summary =
    'Declare a data centre lost, so that others take over its work. Requires the role "change"; in production, the role "promote".';

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
    const view = await this.declareState(this.openEnvironment(flags), declaration, describeLoss);
    this.log(
      'Other data centres take over its work within seconds. Follow it: toucanline timeline --since 1m.',
    );
    return view;
  }
}
