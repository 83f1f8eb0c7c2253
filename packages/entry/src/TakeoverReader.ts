import { TakeoverBook, TakeoverEditor } from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';

const pollMs = 1000;

/** Keeps the record of takeovers of an entry up to date, as far as the store can be reached. */
export class TakeoverReader {
  readonly #runtime: Pick<ProcessRuntime, 'store' | 'clock' | 'random'>;
  readonly #editor: TakeoverEditor;
  #book = new TakeoverBook();
  #stopped = false;

  /** @param runtime - the process */
  public constructor(runtime: Pick<ProcessRuntime, 'store' | 'clock' | 'random'>) {
    this.#runtime = runtime;
    this.#editor = new TakeoverEditor(runtime);
  }

  /** The record as it was last read. */
  public get book(): TakeoverBook {
    return this.#book;
  }

  /** Reads the record until `stop` is called. */
  public async run(): Promise<void> {
    while (!this.#stopped) {
      const book = await this.#editor.read();
      if (book.isOk()) this.#book = book.value;
      await this.#runtime.clock.sleep(pollMs);
    }
  }

  /** Ends the reads. */
  public stop(): void {
    this.#stopped = true;
  }
}
