import { createHash } from 'node:crypto';
import { Args } from '@oclif/core';
import { ConfigChangeCommand } from './ConfigChangeCommand.js';
import type { EntryClient } from './EntryClient.js';
import { exitCodes } from './exitCodes.js';
import { readDocument } from './readDocument.js';
import { readConfigurationHistory } from './readConfigurationHistory.js';
import { readSiteStatus } from './readSiteStatus.js';
import { suggestNextStep } from './suggestNextStep.js';

/** `toucanline config promote`. */
export class ConfigPromoteCommand extends ConfigChangeCommand {
  public static override readonly summary =
    'Puts the document that was in effect in the trial environment into effect in production.';

  public static override readonly description =
    'The file has to be the same, byte for byte, as a revision that schedulers of the trial ' +
    'environment had in effect. With --if-revision it is refused when production moved on.';

  public static override readonly examples = [
    'toucanline config promote site.toml --settings ops.toml',
    'toucanline config promote site.toml --settings ops.toml --yes --if-revision 41',
  ];

  public static override readonly args = {
    file: Args.string({ description: 'Configuration document (TOML).', required: true }),
  };

  public static override readonly flags = { ...ConfigChangeCommand.changeFlags };

  /** {@inheritDoc} */
  public override async run(): Promise<Awaited<ReturnType<ConfigChangeCommand['applyChange']>>> {
    const { args, flags } = await this.parse(ConfigPromoteCommand);
    const { text, document } = this.unwrapOrFail(readDocument(args.file));
    const trial = this.openEnvironmentByRole(flags, 'trial');
    const revision = await this.#findTriedRevision(trial.client, text);
    this.log(`Revision ${revision} of ${trial.name} is the same document.`);
    const { yes, 'if-revision': ifRevision } = flags;
    const note = flags.note ?? `promoted from revision ${revision} of ${trial.name}`;
    const production = this.openEnvironmentByRole(flags, 'production');
    return this.applyChange(production, { text, document, yes, note, ifRevision });
  }

  /** A revision counts as tried once a scheduler of the trial environment had it or a newer one. */
  async #findTriedRevision(client: EntryClient, text: string): Promise<number> {
    const digest = createHash('sha256').update(text).digest('hex');
    const history = this.unwrapOrFail(await readConfigurationHistory(client));
    const { processes } = this.unwrapOrFail(await readSiteStatus(client));
    const schedulers = processes.filter(({ role }) => role === 'scheduler');
    const newest = Math.max(0, ...schedulers.map((process) => process.configurationRevision));
    const accepted = history.find((summary) => summary.digest === digest);
    if (accepted !== undefined && accepted.revision <= newest) return accepted.revision;
    return this.fail({
      message:
        accepted === undefined
          ? `notTried: the document (digest ${digest.slice(0, 12)}) was never in effect in trial`
          : `notTried: no scheduler of the trial environment has confirmed revision ${accepted.revision}`,
      next: suggestNextStep('notTried'),
      exit: exitCodes.refused,
    });
  }
}
