import {
  Clock,
  createFailure,
  EventRecorder,
  EventStream,
  Policy,
  Router,
  TakeoverIndex,
  RandomSource,
} from '@toucanline/core';
import type { CallBody, Failure, ReplyBody, Request, RequestView } from '@toucanline/schema';
import { expect } from 'chai';
import { err, ok, type Result } from 'neverthrow';
import { RequestService } from '../src/RequestService.js';

const size = { processors: 1, memoryMb: 1, accelerators: 0 };
const request: Request = {
  id: 'q',
  digest: 'd',
  team: 'a',
  queue: 'rosters',
  kind: 'batch',
  idempotent: false,
  urgent: false,
  checkpointable: false,
  detached: false,
  tasks: 1,
  size,
  command: '',
  runTimeMs: 1000,
};
const policy = new Policy({
  schema: 1,
  shards: { s1: { dataCentre: 'dc1' } },
  queues: { rosters: { kind: 'batch' } },
  teams: { a: { share: 1 } },
});

/** Clock that advances by the duration of each sleep without waiting. */
class AutoAdvanceClock extends Clock {
  #now = 0;

  public override now(): number {
    return this.#now;
  }

  public override wallTime(): number {
    return this.#now;
  }

  public override sleep(ms: number): Promise<void> {
    this.#now += ms;
    return new Promise((resolve) => setImmediate(resolve));
  }
}

/** Random source that always returns the same values. */
class FixedRandom extends RandomSource {
  public override next(): number {
    return 0.5;
  }

  public override token(): string {
    return 't';
  }
}

describe('the request service of an entry', () => {
  /** Creates a service whose owner sends the given replies in order, and then repeats the last one. */
  const createService = (
    replies: readonly Result<ReplyBody, Failure>[],
  ): { readonly service: RequestService; readonly calls: CallBody[]; readonly clock: Clock } => {
    const clock = new AutoAdvanceClock();
    const router = new Router(clock, 'dc1');
    const random = new FixedRandom();
    const amount = [size.processors, size.memoryMb, size.accelerators] as const;
    const load = {
      shard: 's1',
      epoch: 1,
      origin: { dataCentre: 'dc1', owner: 'p', address: 'x' },
      waiting: 0,
      free: amount,
      room: amount,
    };
    router.applyNotice('p', { notice: 'load', whole: true, shards: [load] });
    const calls: CallBody[] = [];
    const peers = {
      call: (_address: string, body: CallBody): Promise<Result<ReplyBody, Failure>> => {
        const reply = replies[Math.min(calls.length, replies.length - 1)];
        calls.push(body);
        return Promise.resolve(reply ?? err(createFailure('timeout', '')));
      },
    };
    const recorder = new EventRecorder(clock, new EventStream(), 'e', 'dc1');
    return {
      service: new RequestService({
        clock,
        random,
        recorder,
        router,
        peers,
        readTakeovers: () => new TakeoverIndex(),
      }),
      calls,
      clock,
    };
  };
  const createViewReply = (
    epoch: number,
    attempt: number,
    change: Partial<RequestView> = {},
  ): Result<ReplyBody, Failure> => {
    const { id, team, queue, kind } = request;
    const view = { id: `s1.${id}`, team, queue, kind, attempt, tasks: [] };
    return ok({ reply: 'view', epoch, view: { ...view, state: 'waiting', ran: 'no', ...change } });
  };
  const createFailureReply = (kind: Failure['kind']): Result<ReplyBody, Failure> =>
    ok({ reply: 'failure', failure: createFailure(kind, 'scripted failure') });
  const submit = (service: RequestService, waitMs = 20_000): ReturnType<RequestService['submit']> =>
    service.submit({ request, policy, detached: 'no', deadlineAt: 60_000, waitUntil: waitMs });
  const createSuccess = (text: string): Partial<RequestView> => ({
    state: 'succeeded',
    ran: 'yes',
    output: [text],
  });

  it('drops replies of an earlier owner and of an earlier attempt', async () => {
    // Guards against a late reply that replaces a newer one.
    const { service } = createService([
      createViewReply(2, 2),
      createViewReply(1, 3, createSuccess('earlier owner')),
      createViewReply(2, 1, createSuccess('earlier attempt')),
      createViewReply(2, 2, createSuccess('newest')),
    ]);
    expect((await submit(service))._unsafeUnwrap().output).to.deep.equal(['newest']);
  });

  it('answers outcomeUnknown if a new owner refuses a request that a previous owner held', async () => {
    // Guards against a caller that repeats work which the previous owner had started.
    const { service, calls } = createService([
      createViewReply(1, 1),
      createFailureReply('unknownRequest'),
      createFailureReply('neverFits'),
    ]);
    expect((await submit(service))._unsafeUnwrapErr().kind).to.equal('outcomeUnknown');
    expect(calls.at(-1)).to.include({ call: 'submit', heldEpoch: 1 });
  });

  it('returns the id of a request whose owner did not reply, and resubmits it until the deadline', async () => {
    // Guards against an answer "unknown" long before the deadline, after which the request is not polled again.
    const { service, calls, clock } = createService([err(createFailure('linkLost', ''))]);
    const view = (await submit(service))._unsafeUnwrap();
    expect(view).to.include({ id: 's1.q', state: 'waiting', ran: 'unknown' });
    expect(clock.now()).to.be.within(20_000, 25_000);
    const before = calls.length;
    while (clock.now() < 60_000) await new Promise((resolve) => setImmediate(resolve));
    expect(calls.length).to.be.greaterThan(before);
  });

  it('holds a running service until the journal has it', async () => {
    // Guards against a service that is lost with its owner and its worker although its entry is alive.
    const running = { kind: 'service', state: 'running', ran: 'yes', durable: false } as const;
    const { service, calls, clock } = createService([
      createViewReply(1, 1, running),
      createViewReply(1, 1, running),
      createFailureReply('unknownRequest'),
      createViewReply(2, 1, { kind: 'service' }),
      createViewReply(2, 1, { ...running, durable: true }),
    ]);
    expect((await submit(service))._unsafeUnwrap()).to.include({ state: 'running' });
    while (clock.now() < 60_000 && calls.length < 5) await clock.sleep(1000);
    expect(calls.filter(({ call }) => call === 'submit').at(-1)).to.include({ heldEpoch: 1 });
    await clock.sleep(5000);
    expect(calls.length).to.equal(5);
  });

  it('answers linkLost to a wait or cancellation if the owner cannot be reached', async () => {
    // Guards against a wait or cancellation that was not sent and is reported as if the request did not run.
    const { service } = createService([err(createFailure('noOwner', ''))]);
    for (const result of [await service.wait('s1.q', 'a', 0), await service.cancel('s1.q', 'a')]) {
      expect(result._unsafeUnwrapErr().kind).to.equal('linkLost');
    }
  });
});
