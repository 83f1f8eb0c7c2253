import { createHash } from 'node:crypto';
import { Args } from '@oclif/core';
import { ConfigChangeCommand } from './ConfigChangeCommand.js';
import type { EntryClient } from './EntryClient.js';
import { exitCodes } from './exitCodes.js';
import { readDocument } from './readDocument.js';
import { readConfigurationHistory } from './readConfigurationHistory.js';
import { readSiteStatus } from './readSiteStatus.js';
import { suggestNextStep } from './suggestNextStep.js';

/** Command `toucanline config promote`. */
export class ConfigPromoteCommand extends ConfigChangeCommand {
  public static override readonly summary =
    'Apply a document that has been in effect in the trial environment to production.';

  public static override readonly description =
    'The file has to be byte for byte the same as a revision that schedulers of the trial ' +
    'environment had in effect. With --if-revision, it fails if production has a newer revision.';

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
    this.log(`The document is the same as revision ${revision} of ${trial.name}.`);
    const { yes, 'if-revision': ifRevision } = flags;
    const note = flags.note ?? `promoted from revision ${revision} of ${trial.name}`;
    const production = this.openEnvironmentByRole(flags, 'production');
    return this.applyChange(production, { text, document, yes, note, ifRevision });
  }

  /** Finds a tried revision: a scheduler of the trial environment has applied it or a newer one. */
  async #findTriedRevision(client: EntryClient, text: string): Promise<number> {
    const digest = createHash('sha256').update(text).digest('hex');
    const history = this.unwrapOrFail(await readConfigurationHistory(client));
    const { processes } = this.unwrapOrFail(await readSiteStatus(client));
    const schedulers = processes.filter(({ role }) => role === 'scheduler');
    const newestApplied = Math.max(
      0,
      ...schedulers.map((process) => process.configurationRevision),
    );
    const acceptedRevision = history.find((summary) => summary.digest === digest);
    if (acceptedRevision !== undefined && acceptedRevision.revision <= newestApplied)
      return acceptedRevision.revision;
    return this.fail({
      message:
        acceptedRevision === undefined
          ? `notTried: the document (digest ${digest.slice(0, 12)}) was never in effect in the trial environment`
          : `notTried: no scheduler of the trial environment has confirmed revision ${acceptedRevision.revision}`,
      next: suggestNextStep('notTried'),
      exitCode: exitCodes.refused,
    });
  }
}
