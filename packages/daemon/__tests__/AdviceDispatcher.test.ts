import { PlacementAdvisor, type Command } from '@toucanline/jobs';
import type { Link } from '@toucanline/wire';
import { createFailure } from '@toucanline/core';
import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { AdviceDispatcher } from '../src/AdviceDispatcher.js';
import { EventLog, HostMetrics } from '../src/index.js';

type AdviceCommand = Extract<Command, { kind: 'advise' }>;

/** Advisor that answers no call. */
class SilentAdvisor extends PlacementAdvisor {
  public readonly steps: string[] = [];

  public override requestPermits(step: string): Promise<undefined> {
    this.steps.push(step);
    return new Promise(() => undefined);
  }
}

/** Link to a host that answers no call. */
class SilentLink {
  public readonly peer = { process: 'peer' };
  public readonly isClosed = false;
  public readonly steps: string[] = [];

  public call({ step }: { readonly step: string }): Promise<never> {
    this.steps.push(step);
    return new Promise(() => undefined);
  }
}

/** Link to a host whose first call gets no answer; later ones are granted. */
class FailingLink {
  public readonly peer = { process: 'peer' };
  public isClosed = false;
  public calls = 0;

  public call(): Promise<unknown> {
    this.calls += 1;
    return Promise.resolve(
      this.calls === 1
        ? err(createFailure('timeout', 'no reply'))
        : ok({ reply: 'permits', permits: [{ workerId: 'w0', permit: 'p' }] }),
    );
  }
}

/** Link to a host that grants each call after a time. */
class AnsweringLink {
  public readonly peer = { process: 'peer' };
  public readonly isClosed = false;
  public readonly steps: string[] = [];
  readonly #durationMs: number;

  public constructor(durationMs: number) {
    this.#durationMs = durationMs;
  }

  public async call({ step }: { readonly step: string }): Promise<unknown> {
    this.steps.push(step);
    await new Promise((resolve) => setTimeout(resolve, this.#durationMs));
    return ok({ reply: 'permits', permits: [] });
  }
}

const createCommand = (
  stepKey: string,
  expectedMs: number,
  priority: number,
  service = 'render',
): AdviceCommand => ({
  kind: 'advise',
  stepKey,
  service,
  workers: [],
  expectedMs,
  validMs: 2000,
  priority,
  isEarly: false,
});

describe('requests for permits', () => {
  let advisor: SilentAdvisor;
  let links: readonly SilentLink[];
  let dispatcher: AdviceDispatcher;

  beforeEach(() => {
    advisor = new SilentAdvisor();
    links = [new SilentLink(), new SilentLink()];
    dispatcher = new AdviceDispatcher(
      advisor,
      () => links as unknown as readonly Link[],
      () => undefined,
      new EventLog('test', new HostMetrics()),
    );
  });

  afterEach(() => {
    dispatcher.stop();
  });

  const countCalls = (): readonly number[] => [
    advisor.steps.length,
    ...links.map(({ steps }) => steps.length),
  ];

  // Guards against channels that are idle while a leader that is short of processor time handles their answers: in a
  // burst of short jobs 114 requests waited while the service had time for all of them.
  it('are sent ahead of the answers in a burst of short jobs, evenly over the hosts', () => {
    for (let number = 0; number < 12; number += 1) dispatcher.dispatch(createCommand('s', 20, 0));
    expect(countCalls()).to.deep.equal([4, 4, 4]);
  });

  it('are held back once the calls of all channels take their longest time together', () => {
    for (let number = 0; number < 100; number += 1) dispatcher.dispatch(createCommand('s', 20, 0));
    expect(countCalls()).to.deep.equal([5, 5, 5]);
  });

  // Guards against requests that wait for the timeouts of hosts that are cut off.
  it('are held back from hosts that do not answer', async () => {
    for (let number = 0; number < 3; number += 1) dispatcher.dispatch(createCommand('s', 20, 0));
    await new Promise((resolve) => setTimeout(resolve, 250));
    dispatcher.dispatch(createCommand('s', 20, 0));
    expect(countCalls()).to.deep.equal([1, 1, 1]);
  });

  it('do not wait behind a long call, and long calls have a channel of their own', () => {
    for (let number = 0; number < 3; number += 1) {
      dispatcher.dispatch(createCommand(`long${number}`, 700, 1));
    }
    expect(countCalls()).to.deep.equal([0, 1, 1]);
    dispatcher.dispatch(createCommand('short', 20, 0));
    expect(advisor.steps).to.deep.equal(['short']);
  });

  // Guards against two calls for one step at a time, each of which takes a channel.
  it('are not sent while an early call for the step has no answer', () => {
    dispatcher.dispatch({ ...createCommand('s', 700, 1), isEarly: true });
    dispatcher.dispatch(createCommand('s', 700, 1));
    expect(countCalls()).to.deep.equal([0, 1, 0]);
  });

  describe('that no host can make at first', () => {
    let link: FailingLink;
    let answers: number;

    beforeEach(() => {
      link = new FailingLink();
      answers = 0;
      dispatcher = new AdviceDispatcher(
        advisor,
        () => [link as unknown as Link],
        (_command, permits) => {
          if (permits !== undefined) answers += 1;
        },
        new EventLog('test', new HostMetrics()),
      );
    });

    // Guards against a job that never starts: the repeated request was queued while the only other host was paused
    // after a failed call, and nothing sent it once the pause was over.
    it('are sent when the pause of a host ends', async () => {
      dispatcher.dispatch(createCommand('s', 700, 1));
      await new Promise((resolve) => setTimeout(resolve, 250));
      dispatcher.dispatch(createCommand('s', 700, 1));
      expect([link.calls, answers]).to.deep.equal([1, 0]);
      await new Promise((resolve) => setTimeout(resolve, 1200));
      expect([link.calls, answers]).to.deep.equal([2, 1]);
    });

    it('are made by the leader itself once no other host is linked', async () => {
      dispatcher.dispatch(createCommand('s', 700, 1));
      await new Promise((resolve) => setTimeout(resolve, 50));
      dispatcher.dispatch(createCommand('s', 700, 1));
      expect(advisor.steps).to.deep.equal([]);
      link.isClosed = true;
      await new Promise((resolve) => setTimeout(resolve, 250));
      expect(advisor.steps).to.deep.equal(['s']);
    });

    it('are dropped when the leader stops', async () => {
      dispatcher.dispatch(createCommand('s', 700, 1));
      await new Promise((resolve) => setTimeout(resolve, 50));
      dispatcher.dispatch(createCommand('s', 700, 1));
      dispatcher.stop();
      await new Promise((resolve) => setTimeout(resolve, 1200));
      expect(link.calls).to.equal(1);
    });
  });

  // Load pattern: a hot account has many requests queued, and one of an account with a single job is the last of its
  // service by priority. Guards against its starvation, and against turns that leave no channel to the others.
  it('of steps with a turn go first, on a share of the channels', async () => {
    const answering = [new AnsweringLink(40), new AnsweringLink(40), new AnsweringLink(40)];
    dispatcher = new AdviceDispatcher(
      advisor,
      () => answering as unknown as readonly Link[],
      () => undefined,
      new EventLog('test', new HostMetrics()),
    );
    for (let number = 0; number < 12; number += 1)
      dispatcher.dispatch(createCommand(`hot${number}`, 600, 0));
    for (const name of ['a', 'b', 'c']) dispatcher.dispatch(createCommand(name, 600, 2));
    dispatcher.setTurns(['c', 'b', 'a']);
    await new Promise((resolve) => setTimeout(resolve, 60));
    const sent = answering.flatMap(({ steps }) => steps.slice(1, 2)).sort();
    expect(sent).to.deep.equal(['b', 'c', 'hot3']);
  });

  // Load pattern: a service with a backlog repeats its requests as soon as they are answered (review, case 4: jobs of a
  // service with room for them were never started).
  for (const expectedMs of [600, 20]) {
    it(`get a turn for each service in a backlog of calls of ${expectedMs} ms`, async () => {
      const answering = [new AnsweringLink(100), new AnsweringLink(100)];
      dispatcher = new AdviceDispatcher(
        advisor,
        () => answering as unknown as readonly Link[],
        ({ stepKey, service }) => {
          if (service === 'render')
            dispatcher.dispatch(createCommand(stepKey, expectedMs, 0, 'render'));
        },
        new EventLog('test', new HostMetrics()),
      );
      for (let number = 0; number < 30; number += 1)
        dispatcher.dispatch(createCommand(`backlog${number}`, expectedMs, 0, 'render'));
      dispatcher.dispatch(createCommand('first', 600, 2, 'desk'));
      dispatcher.dispatch(createCommand('second', 600, 2, 'desk'));
      await new Promise((resolve) => setTimeout(resolve, 900));
      const countOf = (step: string): number =>
        answering.flatMap(({ steps }) => steps).filter((each) => each === step).length;
      expect(countOf('first')).to.equal(0);
      await new Promise((resolve) => setTimeout(resolve, 400));
      expect([countOf('first'), countOf('second')]).to.deep.equal([1, 0]);
      await new Promise((resolve) => setTimeout(resolve, 1100));
      expect([countOf('first'), countOf('second')]).to.deep.equal([1, 1]);
    });
  }
});
