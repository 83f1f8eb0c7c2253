import type { DataCentreView } from '@toucanline/schema';
import { DataCentreCommand } from './DataCentreCommand.js';

const describeReturn = ({ dataCentre, declaration }: DataCentreView): readonly string[] => [
  declaration === undefined
    ? `${dataCentre} has not been declared lost.`
    : `${declaration.author} declared ${dataCentre} ${declaration.state}.`,
  `Declaring ${dataCentre} returned cancels a takeover that has not happened yet. Work that others have`,
  'taken over stays with them, and the data centre stops it where it is still running. It accepts new',
  'work as soon as its schedulers reach the store, with or without this declaration.',
];

/** Command `toucanline datacentre returned`. */
export class DataCentreReturnedCommand extends DataCentreCommand {
  public static override readonly summary =
    'Withdraw the declaration that a data centre is lost. Requires the role "change"; in production, the role "promote".';

  public static override readonly examples = ['toucanline datacentre returned dc2 --yes'];

  public static override readonly args = DataCentreCommand.declarationArgs;

  public static override readonly flags = DataCentreCommand.declarationFlags;

  /** {@inheritDoc} */
  public override async run(): Promise<DataCentreView> {
    const { args, flags } = await this.parse(DataCentreReturnedCommand);
    const { yes, note } = flags;
    const declaration = { dataCentre: args.name, state: 'returned', yes, note } as const;
    return this.declareState(this.openEnvironment(flags), declaration, describeReturn);
  }
}
