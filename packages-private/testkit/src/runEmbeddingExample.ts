import {
  AllotmentEscrow,
  ClaimManager,
  ConfigurationEditor,
  ConfigurationHolder,
  EventRecorder,
  EventStream,
  Invariant,
} from '@toucanline/core';
import { HttpStore } from '@toucanline/clients';
import { hashText, SystemClock, SystemRandom } from '@toucanline/runtime';
import { exampleDocument } from './exampleDocument.js';

const timeoutMs = 1000;

/**
 * Uses the coordination parts as a library: a claim with a fencing epoch, an escrowed limit and
 * configuration revisions, all over one store.
 *
 * @param storeUrl - base URL of the store
 * @param print - writes one line of output
 */
export const runEmbeddingExample = async (
  storeUrl: string,
  print: (line: string) => void,
): Promise<void> => {
  const store = new HttpStore(storeUrl, timeoutMs);
  const clock = new SystemClock();
  const random = new SystemRandom();
  const recorder = new EventRecorder(clock, new EventStream(), 'example', 'dc1');
  const parts = { store, clock, random, recorder };

  // A claim: the second candidate is refused; after a release the epoch is higher.
  const first = new ClaimManager(parts, 'jobs', 'first', '127.0.0.1:1');
  const second = new ClaimManager(parts, 'jobs', 'second', '127.0.0.1:2');
  const claim = await first.acquire();
  const refused = await second.acquire();
  print(`first owns epoch ${claim.map(({ epoch }) => epoch).unwrapOr(0)}`);
  print(`second: ${refused.isErr() ? refused.error.kind : 'owner'}`);
  await first.release();
  const next = await second.acquire();
  print(`second owns epoch ${next.map(({ epoch }) => epoch).unwrapOr(0)}`);

  // An escrowed limit: what a shard may spend follows the store record.
  const limit = { processors: 10, memoryMb: 1000, accelerators: 0 };
  const amount = { processors: 4, memoryMb: 400, accelerators: 0 };
  const escrow = new AllotmentEscrow('jobs', 2, new Invariant(recorder, true));
  escrow.applyLimits(new Map([['team', limit]]), 1);
  escrow.applyRead(undefined, 0);
  const content = escrow.beginWrite(new Map([['team', amount]]), random.token());
  print(`before the commit: ${escrow.calculateUsable('team').processors} processors`);
  const written = await store.write('example/allotments', JSON.stringify(content), escrow.version);
  if (written.isOk()) escrow.confirmWrite(content, written.value);
  print(`after the commit: ${escrow.calculateUsable('team').processors} processors`);

  // Configuration: of two changes to the same revision, one wins, and a holder never moves back.
  const editor = new ConfigurationEditor({ store, clock, hash: hashText }, 'example');
  const change = { ifRevision: 0, text: exampleDocument, author: 'example' };
  const accepted = await editor.applyChange({ ...change, token: random.token() });
  const late = await editor.applyChange({ ...change, token: random.token() });
  print(`revision ${accepted.map(({ revision }) => revision).unwrapOr(0)} accepted`);
  print(`second change: ${late.isErr() ? late.error.failure.kind : 'accepted'}`);
  const holder = new ConfigurationHolder(recorder);
  if (accepted.isOk()) holder.apply(accepted.value);
  print(`holder has revision ${holder.revision}`);
  await store.close();
};
