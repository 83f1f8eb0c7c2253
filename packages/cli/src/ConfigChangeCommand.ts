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

/** New configuration document and the flags of the operator. */
interface ChangeProposal {
  /** Text of the document (TOML). */
  readonly text: string;
  readonly document: Document;
  readonly note?: string | undefined;
  /** Whether the change is confirmed. */
  readonly yes: boolean;
  /** Revision that must still be the newest, or the change is refused. */
  readonly ifRevision?: number | undefined;
}

/** Preview and result of an applied change. */
interface ChangeResult {
  readonly environment: string;
  readonly preview: readonly string[];
  readonly applied: ConfigurationSummary;
}

/** Base of the commands that change the configuration of an environment after a preview. */
export abstract class ConfigChangeCommand extends BaseCommand {
  protected static readonly changeFlags = {
    yes: Flags.boolean({
      summary: 'Apply the change. Without this flag, only a preview is shown.',
    }),
    note: Flags.string({ summary: 'Reason for the change, stored in the history.' }),
    'if-revision': Flags.integer({
      summary: 'Fail unless this is the newest revision.',
      min: 0,
    }),
  };

  /**
   * Shows a preview of a change and applies it. Ends the command with {@link exitCodes.refused} if the newest
   * revision is not the expected one, and with {@link exitCodes.notConfirmed} without a confirmation.
   *
   * @param environment - environment to change
   * @param proposal - proposed change
   * @returns the preview and the new revision
   */
  protected async applyChange(
    environment: ReturnType<BaseCommand['openEnvironment']>,
    proposal: ChangeProposal,
  ): Promise<ChangeResult> {
    const { name, client, settings } = environment;
    const current = this.unwrapOrFail(await readCurrentConfiguration(client));
    const revision = current?.revision ?? 0;
    this.log(`Changes to ${name} (revision ${revision} by ${current?.author ?? 'nobody'}):`);
    const currentDocument = current && parseDocument(current.text).unwrapOr(undefined);
    const { processes } = this.unwrapOrFail(await readSiteStatus(client));
    const shards = processes.flatMap((process) => process.shards);
    const preview = previewChange(currentDocument, proposal.document, shards);
    for (const line of preview) this.log(line);
    if (proposal.ifRevision !== undefined && proposal.ifRevision !== revision) {
      this.#failStaleRevision(proposal.ifRevision, current);
    }
    if (!proposal.yes) {
      this.fail({
        message: `the change to ${name} was not confirmed; nothing was changed`,
        next: `Run the command again with --yes --if-revision ${revision} to apply it.`,
        exitCode: exitCodes.notConfirmed,
      });
    }
    const body = {
      ifRevision: revision,
      text: proposal.text,
      author: settings.author ?? userInfo().username,
      token: randomUUID(),
      ...(proposal.note === undefined ? {} : { note: proposal.note }),
    };
    const applied = this.unwrapOrFail(
      await client.send({
        method: 'PUT',
        path: '/v1/configuration',
        body,
        isRepeatable: true,
        validator: validators.ConfigurationSummary,
      }),
    );
    this.log(
      `Accepted as revision ${applied.revision} of ${name}. Check which processes have confirmed it: toucanline config status.`,
    );
    return { environment: name, preview, applied };
  }

  #failStaleRevision(ifRevision: number, current: Configuration | undefined): never {
    const authorText = current === undefined ? '' : ` by ${current.author}`;
    return this.fail({
      message: `the newest revision is ${current?.revision ?? 0}${authorText}, not ${ifRevision}`,
      next: 'Review the preview above, which is based on the newest revision, before you try again.',
      exitCode: exitCodes.refused,
    });
  }
}
