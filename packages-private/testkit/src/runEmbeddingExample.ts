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
 * Uses the coordination components as a library: a claim with a fencing epoch, an escrowed limit and
 * configuration revisions, all on one store.
 *
 * @param storeUrl - base URL of the store
 * @param print - prints one line of output
 */
export const runEmbeddingExample = async (
  storeUrl: string,
  print: (line: string) => void,
): Promise<void> => {
  const store = new HttpStore(storeUrl, timeoutMs);
  const clock = new SystemClock();
  const random = new SystemRandom();
  const recorder = new EventRecorder(clock, new EventStream(), 'example', 'dc1');
  const dependencies = { store, clock, random, recorder };

  // A claim: the second candidate is refused; after the release, its epoch is higher.
  const first = new ClaimManager(dependencies, 'jobs', 'first', '127.0.0.1:1');
  const second = new ClaimManager(dependencies, 'jobs', 'second', '127.0.0.1:2');
  const claim = await first.acquire();
  const refusal = await second.acquire();
  print(`first owns epoch ${claim.map(({ epoch }) => epoch).unwrapOr(0)}`);
  print(`second: ${refusal.isErr() ? refusal.error.kind : 'owner'}`);
  await first.release();
  const next = await second.acquire();
  print(`second owns epoch ${next.map(({ epoch }) => epoch).unwrapOr(0)}`);

  // An escrowed limit: a shard may use an amount only after it was committed to the store.
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

  // Configuration: of two changes to the same revision one is accepted, and a holder never reverts to an older one.
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
