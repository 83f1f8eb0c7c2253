import {
  KeyRing,
  Policy,
  WorkerGateway,
  type ClaimState,
  type WorkerResponse,
} from '@toucanline/core';
import { ProcessRuntime } from '@toucanline/runtime';
import type { HostRecord, Renewal, Report, Request } from '@toucanline/schema';
import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { ShardRunner } from '../src/ShardRunner.js';
import { SnapshotAssembler } from '../src/SnapshotAssembler.js';

const room = { processors: 4, memoryMb: 4096, accelerators: 0 };
const shard = 's1';
const epoch = 2;
const owner = 'p';
const request: Request = {
  id: `${shard}.q`,
  digest: 'd',
  team: 'a',
  queue: 'renders',
  kind: 'batch',
  idempotent: true,
  urgent: false,
  checkpointable: false,
  detached: false,
  tasks: 1,
  size: { processors: 1, memoryMb: 1, accelerators: 0 },
  command: '',
  runTimeMs: 1000,
};
const policy = new Policy({
  schema: 1,
  shards: { [shard]: { dataCentre: 'dc1' } },
  queues: { renders: { kind: 'batch', idempotent: true } },
  teams: { a: { share: 1 } },
});
const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Workers of which some grant their lease to this owner; another owner holds the lease of the rest. */
class PartialLeaseGateway extends WorkerGateway {
  public override readonly hasFencing = true;
  public readonly grantingWorkers = new Set<string>();
  public startCount = 0;
  public pollCount = 0;
  readonly #bootedAt = performance.now() - 100_000;

  public override startTask(): Promise<WorkerResponse<void>> {
    this.startCount += 1;
    return Promise.resolve(ok(undefined));
  }

  public override sendCommand(): Promise<WorkerResponse<void>> {
    return Promise.resolve(ok(undefined));
  }

  public override interruptRenewal(): void {
    // A poll of these workers ends by itself within 20 ms.
  }

  public override async renewLease(
    worker: string,
    renewal: Renewal,
  ): Promise<WorkerResponse<Report>> {
    this.pollCount += 1;
    await sleep(20);
    const state = { epoch, owner, bootId: 'boot' };
    if (!this.grantingWorkers.has(worker)) {
      return err({ refusal: 'leaseHeld', detail: '', epoch: 1, owner: 'other' });
    }
    const { leaseUntil, acknowledged: sequence } = renewal;
    const place = { worker, dataCentre: 'dc1', rack: 'r', room, speed: 1, state: 'live' } as const;
    const clockMs = performance.now() - this.#bootedAt;
    return ok({
      ...state,
      ...place,
      clockMs,
      leaseUntil,
      sequence,
      full: true,
      tasks: [],
      changes: [],
    });
  }
}

describe('the host of a shard', () => {
  const runtime = new ProcessRuntime(
    {
      environment: 'test',
      process: owner,
      dataCentre: 'dc1',
      http: { host: '127.0.0.1', port: 0 },
      platform: { store: 'http://127.0.0.1:1', hosts: 'http://127.0.0.1:1' },
      logLevel: 'error',
    },
    'scheduler',
  );
  const listHosts = (count: number): readonly HostRecord[] =>
    Array.from({ length: count }, (_, index) => `w${index}`).map((id) => ({
      id,
      role: 'worker',
      state: 'live',
      dataCentre: 'dc1',
      address: id,
    }));
  const createHost = (
    workers: PartialLeaseGateway,
    provisional: boolean,
    readStanding: () => ClaimState,
  ): ShardRunner =>
    new ShardRunner(
      runtime,
      workers,
      {
        claim: { shard, epoch, owner, address: '', token: 't' },
        basis: provisional ? 'provisional' : 'claimed',
        readClaimState: readStanding,
        readLastContactAt: () => performance.now(),
        onServing: () => undefined,
        onLost: (detail) => {
          throw new Error(detail);
        },
      },
      policy,
    );
  const call = { call: 'submit', shard, request, remainingMs: 60_000, detached: 'no' } as const;
  const cases: readonly { provisional: boolean; standing: ClaimState }[] = [
    { provisional: true, standing: 'unsettled' },
    { provisional: false, standing: 'unreachable' },
  ];

  after(() => runtime.close());

  for (const { provisional, standing } of cases) {
    // Guards against two owners that start work at the same time while the store is down: each holds some
    // of the workers, and each worker by itself would accept the start.
    it(`starts only with a majority of the leases (provisional: ${provisional})`, async () => {
      const workers = new PartialLeaseGateway();
      const host = createHost(workers, provisional, () => standing);
      for (const { id } of listHosts(3)) workers.grantingWorkers.add(id);
      host.applyHosts(listHosts(3));
      host.start();
      while (!host.isServing) await sleep(20);
      // The list grows: this owner now holds three of seven.
      host.applyHosts(listHosts(7));
      expect((await host.submit(call)).reply).to.equal('view');
      await sleep(700);
      expect(workers.startCount).to.equal(0);
      workers.grantingWorkers.add('w3');
      while (workers.startCount === 0) await sleep(20);
      expect(workers.startCount).to.equal(1);
      host.stop();
    });
  }

  it('sends and answers nothing while it is not settled whether its claim outlived a pause', async () => {
    // Guards against an owner that wakes up and acts before it asked the store for its lease.
    let standing: ClaimState = 'unreachable';
    const workers = new PartialLeaseGateway();
    const host = createHost(workers, false, () => standing);
    for (const { id } of listHosts(3)) workers.grantingWorkers.add(id);
    host.applyHosts(listHosts(3));
    host.start();
    while (!host.isServing) await sleep(20);
    standing = 'unsettled';
    await sleep(50);
    const polls = workers.pollCount;
    const refused = { reply: 'failure', failure: { kind: 'notReady' } };
    expect(await host.submit(call)).to.containSubset(refused);
    expect(await host.cancel(request.id, 'a')).to.containSubset({ failure: { kind: 'linkLost' } });
    expect(await host.wait(request.id, 'a', 0)).to.containSubset({ failure: { kind: 'linkLost' } });
    await sleep(400);
    expect([workers.pollCount, workers.startCount]).to.deep.equal([polls, 0]);
    standing = 'unreachable';
    expect((await host.submit(call)).reply).to.equal('view');
    while (workers.startCount === 0) await sleep(20);
    host.stop();
  });

  it('refuses a key that is withdrawn, also for work that waits', () => {
    // Guards against an entry that has not learned of a withdrawal yet.
    const { shard: decisions } = createHost(new PartialLeaseGateway(), true, () => 'unsettled');
    decisions.skipJournal();
    const keyed = { ...call, request: { ...request, keyId: 'k' } };
    expect(decisions.submit(keyed)._unsafeUnwrap().state).to.equal('waiting');
    const ring = new KeyRing(runtime.recorder);
    const key = { id: 'k', hash: 'a'.repeat(64), team: 'a', roles: [], grantedAtMs: 0 };
    ring.apply({ revision: 2, token: 't', keys: [{ ...key, withdrawnAtMs: 1 }] });
    decisions.applyKeys(ring);
    expect(decisions.read(request.id)._unsafeUnwrap()).to.include({ state: 'refused', ran: 'no' });
    const second = { ...keyed, request: { ...keyed.request, id: `${shard}.second` } };
    expect(decisions.submit(second)._unsafeUnwrapErr().kind).to.equal('withdrawnKey');
  });

  it('tells what the journal does not have: requests whose callers left, and cancellations', () => {
    // Guards against a cancelled request that its entry hands in to the next owner and that then goes on.
    const { shard: decisions } = createHost(new PartialLeaseGateway(), true, () => 'unsettled');
    decisions.skipJournal();
    for (const name of ['waits', 'kept', 'cancelled']) {
      const named = { ...call, request: { ...request, id: `${shard}.${name}` } };
      decisions.submit(named)._unsafeUnwrap();
    }
    decisions.persistRequest(`${shard}.kept`);
    decisions.cancel(`${shard}.cancelled`, 'a')._unsafeUnwrap();
    const told = decisions
      .describeUnpersisted()
      .map((each) => [each.call, each.call === 'submit' ? each.request.id : each.requestId]);
    expect(told).to.deep.equal([
      ['submit', `${shard}.kept`],
      ['submit', `${shard}.cancelled`],
      ['cancel', `${shard}.cancelled`],
    ]);
  });

  it('hands finished requests over while it serves, and the rest at the end', async () => {
    // Guards against a gap in decisions that grows with the finished requests, and against a next owner
    // that repeats a request which it does not know.
    const former = createHost(new PartialLeaseGateway(), true, () => 'unsettled');
    const next = createHost(new PartialLeaseGateway(), true, () => 'unsettled');
    const inbox = new SnapshotAssembler(runtime.clock);
    former.shard.skipJournal();
    const keyed = { ...call, request: { ...request, id: `${shard}.k`, idempotencyKey: 'k' } };
    former.shard.submit(keyed)._unsafeUnwrap();
    former.shard.cancel(`${shard}.k`, 'a')._unsafeUnwrap();
    // The request has ended once the journal has it and its end.
    for (const effect of former.shard.takeEffects()) {
      if (effect.effect === 'commit') former.shard.applyCommitResult(effect.ticket);
    }
    former.shard.submit(call)._unsafeUnwrap();
    const requests = [...former.shard.describeFinished()];
    const empty = { drained: [], allotments: {}, reports: [] };
    const part = { shard, epoch: epoch - 1, owner, requests, ...empty };
    expect(
      inbox.addPart({ call: 'handover', last: false, claimed: true, snapshot: part }),
    ).to.equal(false);
    const sent = new Set(requests.map((held) => held.request.id));
    const rest = await former.freeze(sent);
    expect(rest.requests.map((held) => held.request.id)).to.deep.equal([request.id]);
    const snapshot = { ...rest, epoch: epoch - 1 };
    expect(inbox.addPart({ call: 'handover', last: true, claimed: true, snapshot })).to.equal(true);
    next.start(inbox.take(epoch));
    const repeated = { ...keyed, request: { ...keyed.request, id: `${shard}.again` } };
    expect(next.shard.submit(repeated)._unsafeUnwrap()).to.include({
      id: `${shard}.k`,
      state: 'cancelled',
    });
    expect(next.shard.read(request.id)._unsafeUnwrap().state).to.equal('waiting');
    former.stop();
    next.stop();
  });
});
