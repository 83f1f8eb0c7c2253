import { Flags } from '@oclif/core';
import { parseDocument } from '@toucanline/core/parseDocument';
import { validators } from '@toucanline/schema';
import { ConfigChangeCommand } from './ConfigChangeCommand.js';
import { exitCodes } from './exitCodes.js';
import { readConfigurationHistory } from './readConfigurationHistory.js';

/** Command `toucanline config undo`. */
export class ConfigUndoCommand extends ConfigChangeCommand {
  public static override readonly summary =
    'Apply an earlier configuration document again, as a new revision.';

  public static override readonly examples = [
    'toucanline config undo --environment production --settings ops.toml',
    'toucanline config undo --environment production --settings ops.toml --to 38 --yes',
  ];

  public static override readonly flags = {
    ...ConfigChangeCommand.changeFlags,
    to: Flags.integer({ summary: 'Revision to return to. Default: the one before the newest.' }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<Awaited<ReturnType<ConfigChangeCommand['applyChange']>>> {
    const { flags } = await this.parse(ConfigUndoCommand);
    const environment = this.openEnvironment(flags);
    const [, previous] = this.unwrapOrFail(await readConfigurationHistory(environment.client));
    const revision = flags.to ?? previous?.revision;
    if (revision === undefined) {
      return this.fail({
        message: 'there is no earlier revision to return to',
        next: 'List the revisions: toucanline config history.',
        exitCode: exitCodes.refused,
      });
    }
    const { text } = this.unwrapOrFail(
      await environment.client.send({
        method: 'GET',
        path: `/v1/configuration/${revision}`,
        isRepeatable: true,
        validator: validators.Configuration,
      }),
    );
    const document = parseDocument(text);
    if (document.isErr()) {
      return this.fail({
        message: document.error.detail,
        next: 'Choose another revision with --to.',
        exitCode: exitCodes.invalid,
      });
    }
    const { yes, 'if-revision': ifRevision } = flags;
    const note = flags.note ?? `return to revision ${revision}`;
    return this.applyChange(environment, { text, document: document.value, yes, note, ifRevision });
  }
}
