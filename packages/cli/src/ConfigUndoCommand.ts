import { Flags } from '@oclif/core';
import { parseDocument } from '@toucanline/core/parseDocument';
import { validators } from '@toucanline/schema';
import { ConfigChangeCommand } from './ConfigChangeCommand.js';
import { exitCodes } from './exitCodes.js';
import { readConfigurationHistory } from './readConfigurationHistory.js';

/** `toucanline config undo`. */
export class ConfigUndoCommand extends ConfigChangeCommand {
  public static override readonly summary =
    'Puts an older document into effect again, as a new revision.';

  public static override readonly examples = [
    'toucanline config undo --environment production --settings ops.toml',
    'toucanline config undo --environment production --settings ops.toml --to 38 --yes',
  ];

  public static override readonly flags = {
    ...ConfigChangeCommand.changeFlags,
    to: Flags.integer({ summary: 'Revision to return to; the one before the newest if absent.' }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<Awaited<ReturnType<ConfigChangeCommand['applyChange']>>> {
    const { flags } = await this.parse(ConfigUndoCommand);
    const environment = this.open(flags);
    const [, previous] = this.unwrapOrFail(await readConfigurationHistory(environment.client));
    const revision = flags.to ?? previous?.revision;
    if (revision === undefined) {
      return this.fail({
        message: 'there is no earlier revision',
        next: 'Look at the revisions: toucanline config history.',
        exit: exitCodes.refused,
      });
    }
    const { text } = this.unwrapOrFail(
      await environment.client.send({
        method: 'GET',
        path: `/v1/configuration/${revision}`,
        mayRepeat: true,
        validator: validators.Configuration,
      }),
    );
    const document = parseDocument(text);
    if (document.isErr()) {
      return this.fail({
        message: document.error.detail,
        next: 'Choose another revision with --to.',
        exit: exitCodes.invalid,
      });
    }
    const { yes, 'if-revision': ifRevision } = flags;
    const note = flags.note ?? `return to revision ${revision}`;
    return this.applyChange(environment, { text, document: document.value, yes, note, ifRevision });
  }
}
