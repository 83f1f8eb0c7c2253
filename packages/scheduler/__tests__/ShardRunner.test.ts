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

/**
 * Gateway to workers of which only some grant their lease to this owner; another owner holds the lease of the rest.
 */
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

describe('the runner of a shard', () => {
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
  const createRunner = (
    workers: PartialLeaseGateway,
    provisional: boolean,
    readClaimState: () => ClaimState,
  ): ShardRunner =>
    new ShardRunner(
      runtime,
      workers,
      {
        claim: { shard, epoch, owner, address: '', token: 't' },
        basis: provisional ? 'provisional' : 'claimed',
        readClaimState,
        readLastContactAt: () => performance.now(),
        onServing: () => undefined,
        onLost: (detail) => {
          throw new Error(detail);
        },
      },
      policy,
    );
  const call = { call: 'submit', shard, request, remainingMs: 60_000, detached: 'no' } as const;
  const cases: readonly { provisional: boolean; claimState: ClaimState }[] = [
    { provisional: true, claimState: 'unsettled' },
    { provisional: false, claimState: 'unreachable' },
  ];

  after(() => runtime.close());

  for (const { provisional, claimState } of cases) {
    // Guards against two owners that start tasks at the same time while the store is down: each holds the leases of
    // some workers, and each of these workers by itself would accept the start.
    it(`starts tasks only with a majority of the worker leases (provisional: ${provisional})`, async () => {
      const workers = new PartialLeaseGateway();
      const runner = createRunner(workers, provisional, () => claimState);
      for (const { id } of listHosts(3)) workers.grantingWorkers.add(id);
      runner.applyHosts(listHosts(3));
      runner.start();
      while (!runner.isServing) await sleep(20);
      // The host list grows: this owner now holds the leases of three of seven workers.
      runner.applyHosts(listHosts(7));
      expect((await runner.submit(call)).reply).to.equal('view');
      await sleep(700);
      expect(workers.startCount).to.equal(0);
      workers.grantingWorkers.add('w3');
      while (workers.startCount === 0) await sleep(20);
      expect(workers.startCount).to.equal(1);
      runner.stop();
    });
  }

  it('sends no calls and reports no request states while its claim is unsettled after a pause', async () => {
    // Guards against an owner that acts after a pause of its process before it has renewed its lease at the store.
    let claimState: ClaimState = 'unreachable';
    const workers = new PartialLeaseGateway();
    const runner = createRunner(workers, false, () => claimState);
    for (const { id } of listHosts(3)) workers.grantingWorkers.add(id);
    runner.applyHosts(listHosts(3));
    runner.start();
    while (!runner.isServing) await sleep(20);
    claimState = 'unsettled';
    await sleep(50);
    const pollCount = workers.pollCount;
    const notReady = { reply: 'failure', failure: { kind: 'notReady' } };
    expect(await runner.submit(call)).to.containSubset(notReady);
    expect(await runner.cancel(request.id, 'a')).to.containSubset({
      failure: { kind: 'linkLost' },
    });
    expect(await runner.wait(request.id, 'a', 0)).to.containSubset({
      failure: { kind: 'linkLost' },
    });
    await sleep(400);
    expect([workers.pollCount, workers.startCount]).to.deep.equal([pollCount, 0]);
    claimState = 'unreachable';
    expect((await runner.submit(call)).reply).to.equal('view');
    while (workers.startCount === 0) await sleep(20);
    runner.stop();
  });

  it('refuses a withdrawn key, also for requests that already wait', () => {
    // Guards against requests of an entry that does not know the withdrawal yet.
    const { shard: decisions } = createRunner(new PartialLeaseGateway(), true, () => 'unsettled');
    decisions.skipJournal();
    const keyed = { ...call, request: { ...request, keyId: 'k' } };
    expect(decisions.submit(keyed)._unsafeUnwrap().state).to.equal('waiting');
    const keyRing = new KeyRing(runtime.recorder);
    const key = { id: 'k', hash: 'a'.repeat(64), team: 'a', roles: [], grantedAtMs: 0 };
    keyRing.apply({ revision: 2, token: 't', keys: [{ ...key, withdrawnAtMs: 1 }] });
    decisions.applyKeys(keyRing);
    expect(decisions.read(request.id)._unsafeUnwrap()).to.include({ state: 'refused', ran: 'no' });
    const second = { ...keyed, request: { ...keyed.request, id: `${shard}.second` } };
    expect(decisions.submit(second)._unsafeUnwrapErr().kind).to.equal('withdrawnKey');
  });

  it('describes what the journal lacks: requests whose callers stopped waiting, and cancellations', () => {
    // Guards against a cancelled request that continues because its entry resubmits it to the next owner.
    const { shard: decisions } = createRunner(new PartialLeaseGateway(), true, () => 'unsettled');
    decisions.skipJournal();
    for (const name of ['waits', 'persisted', 'cancelled']) {
      const named = { ...call, request: { ...request, id: `${shard}.${name}` } };
      decisions.submit(named)._unsafeUnwrap();
    }
    decisions.persistRequest(`${shard}.persisted`);
    decisions.cancel(`${shard}.cancelled`, 'a')._unsafeUnwrap();
    const unpersisted = decisions
      .describeUnpersisted()
      .map((each) => [each.call, each.call === 'submit' ? each.request.id : each.requestId]);
    expect(unpersisted).to.deep.equal([
      ['submit', `${shard}.persisted`],
      ['submit', `${shard}.cancelled`],
      ['cancel', `${shard}.cancelled`],
    ]);
  });

  it('hands over finished requests while it serves, and the rest at the end', async () => {
    // Guards against a pause in decisions that grows with the number of finished requests, and against a second run
    // of a finished request that the next owner does not know.
    const previous = createRunner(new PartialLeaseGateway(), true, () => 'unsettled');
    const next = createRunner(new PartialLeaseGateway(), true, () => 'unsettled');
    const assembler = new SnapshotAssembler(runtime.clock);
    previous.shard.skipJournal();
    const keyed = { ...call, request: { ...request, id: `${shard}.k`, idempotencyKey: 'k' } };
    previous.shard.submit(keyed)._unsafeUnwrap();
    previous.shard.cancel(`${shard}.k`, 'a')._unsafeUnwrap();
    // A request has ended once the journal has both its acceptance and its end.
    for (const effect of previous.shard.takeEffects()) {
      if (effect.effect === 'commit') previous.shard.applyCommitResult(effect.ticket);
    }
    previous.shard.submit(call)._unsafeUnwrap();
    const requests = [...previous.shard.describeFinished()];
    const empty = { drained: [], allotments: {}, reports: [] };
    const part = { shard, epoch: epoch - 1, owner, requests, ...empty };
    expect(
      assembler.addPart({ call: 'handover', last: false, claimed: true, snapshot: part }),
    ).to.equal(false);
    const sent = new Set(requests.map((held) => held.request.id));
    const remaining = await previous.freeze(sent);
    expect(remaining.requests.map((held) => held.request.id)).to.deep.equal([request.id]);
    const snapshot = { ...remaining, epoch: epoch - 1 };
    expect(assembler.addPart({ call: 'handover', last: true, claimed: true, snapshot })).to.equal(
      true,
    );
    next.start(assembler.take(epoch));
    const repeated = { ...keyed, request: { ...keyed.request, id: `${shard}.again` } };
    expect(next.shard.submit(repeated)._unsafeUnwrap()).to.include({
      id: `${shard}.k`,
      state: 'cancelled',
    });
    expect(next.shard.read(request.id)._unsafeUnwrap().state).to.equal('waiting');
    previous.stop();
    next.stop();
  });
});
