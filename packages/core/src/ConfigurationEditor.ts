import {
  validators,
  type ChangeSummary,
  type Configuration,
  type ConfigurationChange,
  type Failure,
  type StoreValue,
} from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { checkDocument } from './checkDocument.js';
import type { Clock } from './Clock.js';
import { compareDocuments } from './compareDocuments.js';
import { createFailure } from './createFailure.js';
import { createRecordDecoder } from './createRecordDecoder.js';
import { formatIssue } from './formatIssue.js';
import { parseDocument } from './parseDocument.js';
import type { Store } from './Store.js';

const maxAttempts = 4;
const retryDelayMs = 100;
/** Digits of a revision in a store key, zero-padded so that the keys sort in the order of the revisions. */
const revisionDigits = 10;

/** Dependencies of the editor. */
interface EditorDependencies {
  readonly store: Store;
  readonly clock: Clock;
  /** Computes the SHA-256 of a text, in hexadecimal. */
  readonly hash: (text: string) => string;
}

/** Reason why a change was not applied. */
interface Refusal {
  readonly failure: Failure;
  /** All errors of an invalid document, each formatted as one line. */
  readonly invalid?: readonly string[];
  /** The newest revision, if another change was applied first. */
  readonly current?: ChangeSummary;
}

/** Current record with the store version of its key. */
interface CurrentRecord {
  readonly configuration: Configuration | undefined;
  readonly version: number;
}

/**
 * Changes the configuration of an environment in the store. A revision is written to the history before the
 * next one replaces it, so that a crash leaves no gap in the history.
 */
export class ConfigurationEditor {
  readonly #dependencies: EditorDependencies;
  readonly #key: string;

  /**
   * @param dependencies - dependencies of the editor
   * @param environment - name of the environment
   */
  public constructor(dependencies: EditorDependencies, environment: string) {
    this.#dependencies = dependencies;
    this.#key = `configuration/${environment}`;
  }

  /**
   * Applies a change if its `ifRevision` is the newest revision. A token is applied at most once, so a
   * change may be repeated.
   *
   * @param change - the change
   * @returns the new revision; `invalidDocument` with all errors; `staleRevision` with the newest revision;
   * `conflictingKey` if the token was used with another text; `timeout` if the outcome is unknown;
   * `storeUnavailable`
   */
  public async applyChange(change: ConfigurationChange): Promise<Result<Configuration, Refusal>> {
    const { issues } = checkDocument(change.text);
    if (issues.length > 0) {
      const invalid = issues.map(formatIssue);
      return err({ failure: createFailure('invalidDocument', invalid.join('\n')), invalid });
    }
    let last = createFailure('storeUnavailable', 'the store does not answer');
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if (attempt > 0) await this.#dependencies.clock.sleep(retryDelayMs);
      const current = await this.#readCurrent();
      if (current.isErr()) {
        last = this.#selectFailure(last, current.error);
        continue;
      }
      const applied = await this.#findApplied(change, current.value.configuration);
      if (applied.isErr()) return err({ failure: applied.error });
      if (applied.value !== undefined) return this.#answerRepeat(change, applied.value);
      const revision = current.value.configuration?.revision ?? 0;
      if (revision !== change.ifRevision)
        return err(await this.#refuseStale(change, current.value));
      const written = await this.#write(change, current.value);
      if (written.isOk()) return ok(written.value);
      last = this.#selectFailure(last, written.error);
    }
    return err({ failure: last });
  }

  /**
   * Reads the newest revision.
   *
   * @returns the newest revision; undefined if there is none; `storeUnavailable`
   */
  public async readNewest(): Promise<Result<Configuration | undefined, Failure>> {
    return (await this.#readCurrent()).map(({ configuration }) => configuration);
  }

  /**
   * Reads one revision.
   *
   * @param revision - number of the revision
   * @returns the revision; `unknownRevision`; `storeUnavailable`
   */
  public async readRevision(revision: number): Promise<Result<Configuration, Failure>> {
    const current = await this.#readCurrent();
    if (current.isErr()) return err(current.error);
    const { configuration } = current.value;
    if (configuration?.revision === revision) return ok(configuration);
    const stored = await this.#dependencies.store.read(this.#createRevisionKey(revision));
    return stored.andThen(createRecordDecoder(validators.Configuration)).andThen((found) => {
      if (found !== undefined) return ok(found);
      return err(createFailure('unknownRevision', `revision ${revision} does not exist`));
    });
  }

  /**
   * Reads all revisions.
   *
   * @returns the revisions, newest first; `storeUnavailable`
   */
  public async listRevisions(): Promise<Result<readonly Configuration[], Failure>> {
    const current = await this.#readCurrent();
    if (current.isErr()) return err(current.error);
    const stored = await this.#dependencies.store.list(`${this.#key}/`);
    if (stored.isErr()) return err(stored.error);
    const { configuration } = current.value;
    const revisions = new Map<number, Configuration>();
    if (configuration !== undefined) revisions.set(configuration.revision, configuration);
    for (const value of stored.value) {
      const decoded = createRecordDecoder(validators.Configuration)(value);
      if (decoded.isOk() && decoded.value !== undefined) {
        revisions.set(decoded.value.revision, decoded.value);
      }
    }
    return ok([...revisions.values()].sort((left, right) => right.revision - left.revision));
  }

  /** A write that timed out may still take effect, so `timeout` is kept over any later failure. */
  #selectFailure(last: Failure, next: Failure): Failure {
    return last.kind === 'timeout' ? last : next;
  }

  #createRevisionKey(revision: number): string {
    return `${this.#key}/${String(revision).padStart(revisionDigits, '0')}`;
  }

  async #readCurrent(): Promise<Result<CurrentRecord, Failure>> {
    const value = await this.#dependencies.store.read(this.#key);
    return value.andThen((stored: StoreValue) =>
      createRecordDecoder(validators.Configuration)(stored).map((configuration) => ({
        configuration,
        version: stored.version,
      })),
    );
  }

  /** A change based on revision R can only have become revision R + 1, so only its token is compared. */
  async #findApplied(
    { ifRevision, token }: ConfigurationChange,
    current: Configuration | undefined,
  ): Promise<Result<Configuration | undefined, Failure>> {
    if (current === undefined || current.revision <= ifRevision) return ok(undefined);
    if (current.revision === ifRevision + 1) {
      return ok(current.token === token ? current : undefined);
    }
    const stored = await this.#dependencies.store.read(this.#createRevisionKey(ifRevision + 1));
    return stored
      .andThen(createRecordDecoder(validators.Configuration))
      .map((found) => (found?.token === token ? found : undefined));
  }

  #answerRepeat(
    change: ConfigurationChange,
    applied: Configuration,
  ): Result<Configuration, Refusal> {
    if (applied.text === change.text) return ok(applied);
    const detail = `the token was already used for another document, revision ${applied.revision}`;
    return err({ failure: createFailure('conflictingKey', detail) });
  }

  async #refuseStale(
    { ifRevision }: ConfigurationChange,
    { configuration }: CurrentRecord,
  ): Promise<Refusal> {
    const revision = configuration?.revision ?? 0;
    if (configuration === undefined || revision < ifRevision) {
      const detail = `the newest revision is ${revision}; revision ${ifRevision} does not exist`;
      return { failure: createFailure('staleRevision', detail) };
    }
    const { author, atMs, text } = configuration;
    const base = ifRevision === 0 ? undefined : await this.readRevision(ifRevision);
    const before = base?.isOk() === true ? parseDocument(base.value.text).unwrapOr(undefined) : {};
    const after = parseDocument(text).unwrapOr(undefined);
    const changes = after === undefined ? [] : compareDocuments(before ?? {}, after);
    const detail = `${author} made revision ${revision} after revision ${ifRevision} was read`;
    return {
      failure: createFailure('staleRevision', detail),
      current: { revision, author, atMs, changes },
    };
  }

  /** A conflict means that the history already has the revision. After any other failure the key is read back. */
  async #archiveRevision(configuration: Configuration): Promise<Result<void, Failure>> {
    const { store } = this.#dependencies;
    const name = this.#createRevisionKey(configuration.revision);
    const written = await store.write(name, JSON.stringify(configuration), 0);
    if (written.isOk() || written.error.kind === 'storeConflict') return ok(undefined);
    const isArchived = (await store.read(name))
      .map(({ value }) => value !== undefined)
      .unwrapOr(false);
    if (isArchived) return ok(undefined);
    return err(createFailure('storeUnavailable', written.error.detail));
  }

  async #write(
    { text, author, note, token, ifRevision }: ConfigurationChange,
    { configuration, version }: CurrentRecord,
  ): Promise<Result<Configuration, Failure>> {
    const { store, clock, hash } = this.#dependencies;
    if (configuration !== undefined) {
      const archived = await this.#archiveRevision(configuration);
      if (archived.isErr()) return err(archived.error);
    }
    const next: Configuration = {
      revision: ifRevision + 1,
      digest: hash(text),
      author,
      atMs: clock.wallTime(),
      token,
      text,
      ...(note === undefined ? {} : { note }),
    };
    return (await store.write(this.#key, JSON.stringify(next), version)).map(() => next);
  }
}
