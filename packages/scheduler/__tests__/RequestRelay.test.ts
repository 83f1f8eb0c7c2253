import type { Clock, Router } from '@toucanline/core';
import type { ReplyBody, RequestView, ShardLoad, SubmitCall } from '@toucanline/schema';
import { expect } from 'chai';
import { RequestRelay } from '../src/RequestRelay.js';

const heldEpoch = 3;

describe('requests that a previous owner resubmits', () => {
  /**
   * Relays a request and its cancellation to an owner with the given epoch, and returns the calls that the owner got.
   */
  const relay = async (epoch: number, idempotent: boolean): Promise<readonly string[]> => {
    const calls: string[] = [];
    let now = 0;
    const reply = (call: string): Promise<ReplyBody> => {
      calls.push(call);
      const view = { id: 's1.q' } as RequestView;
      return Promise.resolve({ reply: 'view', view, epoch });
    };
    const clock: Pick<Clock, 'now' | 'sleep'> = {
      now: () => now,
      sleep: (ms) => {
        now += ms;
        return Promise.resolve();
      },
    };
    const load = { shard: 's1', owner: 'p', epoch } as ShardLoad;
    const router: Pick<Router, 'findLoad'> = { findLoad: () => load };
    await new RequestRelay({
      clock,
      router,
      shard: 's1',
      process: 'p',
      listPeers: () => [],
      readRunner: () => ({
        submit: () => reply('submit'),
        wait: () => reply('wait'),
        cancel: () => reply('cancel'),
      }),
      isRunning: () => true,
    }).run(heldEpoch, [
      {
        call: 'submit',
        shard: 's1',
        request: { id: 's1.q', team: 'a', idempotent },
        remainingMs: 20_000,
        detached: 'no',
        heldEpoch,
      } as SubmitCall,
      { call: 'cancel', requestId: 's1.q', team: 'a' },
    ]);
    return calls;
  };

  it('reach the next owner, which is told to write them to the journal', async () => {
    // Guards against the loss of a request whose owner lost its claim and whose entry was killed.
    const all = ['submit', 'wait', 'cancel'];
    expect(await relay(heldEpoch + 1, false)).to.deep.equal(all);
    expect(await relay(heldEpoch + 1, true)).to.deep.equal(all);
    expect(await relay(heldEpoch, true)).to.deep.equal([]);
  });

  it('do not reach a later owner if they are not idempotent', async () => {
    // Guards against a second run: the owner in between may have got the request from its entry and run it.
    expect(await relay(heldEpoch + 2, false)).to.deep.equal(['cancel']);
    expect(await relay(heldEpoch + 2, true)).to.deep.equal(['submit', 'wait', 'cancel']);
  });
});
