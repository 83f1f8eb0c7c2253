import { randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';
import { Flags } from '@oclif/core';
import { parseDocument } from '@toucanline/core/parseDocument';
import { previewChange } from '@toucanline/core/previewChange';
import {
  validators,
  type Configuration,
  type ConfigurationSummary,
  type Document,
} from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { exitCodes } from './exitCodes.js';
import { readCurrentConfiguration } from './readCurrentConfiguration.js';
import { readSiteStatus } from './readSiteStatus.js';

/** A new document with the operator's choices. */
interface ChangeProposal {
  readonly text: string;
  readonly document: Document;
  readonly note?: string | undefined;
  readonly yes: boolean;
  readonly ifRevision?: number | undefined;
}

/** What a change did, or would do. */
interface ChangeResult {
  readonly environment: string;
  readonly preview: readonly string[];
  readonly applied: ConfigurationSummary;
}

/** A command that changes the configuration of an environment after a preview. */
export abstract class ConfigChangeCommand extends BaseCommand {
  protected static readonly changeFlags = {
    yes: Flags.boolean({ summary: 'Apply the change; without it only the preview is shown.' }),
    note: Flags.string({ summary: 'Why the change is made; kept in the history.' }),
    'if-revision': Flags.integer({
      summary: 'Refuse if the newest revision is another one than this.',
      min: 0,
    }),
  };

  /**
   * Shows the effect of a change and applies it.
   *
   * @param environment - the environment
   * @param wanted - the change
   * @returns the preview and the new revision
   */
  protected async applyChange(
    environment: ReturnType<BaseCommand['open']>,
    wanted: ChangeProposal,
  ): Promise<ChangeResult> {
    const { name, client, settings } = environment;
    const current = this.unwrapOrFail(await readCurrentConfiguration(client));
    const revision = current?.revision ?? 0;
    this.log(`Change of ${name}, revision ${revision} by ${current?.author ?? 'nobody'}:`);
    const before = current && parseDocument(current.text).unwrapOr(undefined);
    const { processes } = this.unwrapOrFail(await readSiteStatus(client));
    const shards = processes.flatMap((process) => process.shards);
    const preview = previewChange(before, wanted.document, shards);
    for (const line of preview) this.log(line);
    if (wanted.ifRevision !== undefined && wanted.ifRevision !== revision) {
      this.#failStaleRevision(wanted.ifRevision, current);
    }
    if (!wanted.yes) {
      this.fail({
        message: `nothing was changed in ${name}, because the change is not confirmed`,
        next: `Run the command again with --yes --if-revision ${revision}.`,
        exit: exitCodes.notConfirmed,
      });
    }
    const body = {
      ifRevision: revision,
      text: wanted.text,
      author: settings.author ?? userInfo().username,
      token: randomUUID(),
      ...(wanted.note === undefined ? {} : { note: wanted.note }),
    };
    const applied = this.unwrapOrFail(
      await client.send({
        method: 'PUT',
        path: '/v1/configuration',
        body,
        mayRepeat: true,
        validator: validators.ConfigurationSummary,
      }),
    );
    this.log(`Revision ${applied.revision} is accepted in ${name}.`);
    return { environment: name, preview, applied };
  }

  #failStaleRevision(ifRevision: number, current: Configuration | undefined): never {
    const by = current === undefined ? '' : ` by ${current.author}`;
    return this.fail({
      message: `the newest revision is ${current?.revision ?? 0}${by}, not ${ifRevision}`,
      next: 'Read the preview above, which starts from the newest revision, and decide again.',
      exit: exitCodes.refused,
    });
  }
}
