import { PlacementAdvisor, type Command } from '@toucanline/jobs';
import type { Link } from '@toucanline/wire';
import { expect } from 'chai';
import { AdviceDispatcher } from '../src/AdviceDispatcher.js';
import { EventLog, HostMetrics } from '../src/index.js';

type AdviceCommand = Extract<Command, { kind: 'advise' }>;

const channelCount = 20;

/** Advisor whose answers the test gives. */
class PendingAdvisor extends PlacementAdvisor {
  readonly #call: (stepKey: string) => Promise<undefined>;

  public constructor(call: (stepKey: string) => Promise<undefined>) {
    super();
    this.#call = call;
  }

  public override requestPermits(stepKey: string): Promise<undefined> {
    return this.#call(stepKey);
  }
}

const createCommand = (stepKey: string, overrides: Partial<AdviceCommand> = {}): AdviceCommand => ({
  kind: 'advise',
  stepKey,
  queue: 'q',
  workers: [],
  expectedMs: 400,
  rank: 0,
  priority: 1,
  ...overrides,
});

/** Load pattern: wide steps whose permits take long, beside a burst of short lookups of several accounts. */
describe('advice dispatcher', () => {
  let sent: string[];
  let pending: (() => void)[];
  let dispatcher: AdviceDispatcher;

  beforeEach(() => {
    sent = [];
    pending = [];
    const call = (stepKey: string): Promise<undefined> => {
      sent.push(stepKey);
      return new Promise((resolve) => {
        pending.push(() => {
          resolve(undefined);
        });
      });
    };
    const links = Array.from({ length: channelCount - 1 }, () => ({
      peer: { process: 'peer' },
      isClosed: false,
      call: async ({ step }: { readonly step: string }) => {
        await call(step);
        return { isOk: () => true, value: { reply: 'permits', permits: [] } };
      },
    }));
    dispatcher = new AdviceDispatcher(
      new PendingAdvisor(call),
      () => links as unknown as readonly Link[],
      () => undefined,
      new EventLog('test', new HostMetrics()),
    );
  });

  // Guards against lookups of 20 ms that wait until a call of 600 ms frees a channel. On a fleet of 245 workers permits
  // of lookups took 0.8 s while wide steps kept all channels busy.
  it('keeps channels free for short calls', () => {
    for (let step = 0; step < 40; step += 1) dispatcher.dispatch(createCommand(`long-${step}`));
    expect(sent).to.have.length(channelCount * 0.8);
    for (let step = 0; step < 4; step += 1) {
      dispatcher.dispatch(createCommand(`short-${step}`, { expectedMs: 20 }));
    }
    expect(sent.filter((step) => step.startsWith('short'))).to.have.length(4);
  });

  // Guards against an account far beyond its rate whose many requests delay the permits of all others.
  it('serves requests in the order of service', async () => {
    for (let step = 0; step < 40; step += 1) {
      dispatcher.dispatch(createCommand(`excess-${step}`, { rank: 3, priority: 0 }));
    }
    dispatcher.dispatch(createCommand('late', { rank: 1 }));
    dispatcher.dispatch(createCommand('on-time', { priority: 2 }));
    sent = [];
    for (const answer of pending.splice(0, 2)) answer();
    await new Promise((resolve) => setTimeout(resolve, 5));
    expect(sent).to.deep.equal(['on-time', 'late']);
  });
});
