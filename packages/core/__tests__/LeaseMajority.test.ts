import type { Renewal, Report, WorkerRefusal } from '@toucanline/schema';
import { expect } from 'chai';
import { assert, integer, property } from 'fast-check';
import { Shard } from '../src/index.js';
import { DriftingClock } from './DriftingClock.js';
import { createDependencies } from './createDependencies.js';

const size = { processors: 1, memoryMb: 1, accelerators: 0 };

/** Worker that accepts a provisional epoch only after its lease expired, as the platform's workers do. */
class WorkerModel {
  public readonly clock: DriftingClock;
  #bootedAt: number;
  #boot = 1;
  #epoch = 0;
  #owner = '';
  #leaseUntil = 0;

  public constructor(rate: number) {
    this.clock = new DriftingClock(rate);
    this.#bootedAt = this.clock.now() - 100_000;
  }

  public reboot(): void {
    this.#bootedAt = this.clock.now();
    this.#boot += 1;
    this.#epoch = 0;
    this.#owner = '';
    this.#leaseUntil = 0;
  }

  public renew({ authority, leaseUntil, acknowledged }: Renewal): Report | WorkerRefusal {
    const now = this.clock.now() - this.#bootedAt;
    const { epoch, owner, bootId } = authority;
    const refuse = (refusal: WorkerRefusal['refusal']): WorkerRefusal => ({
      refusal,
      detail: '',
      epoch: this.#epoch,
      owner: this.#owner,
    });
    const isSame = epoch === this.#epoch && owner === this.#owner;
    if (epoch < this.#epoch || (epoch === this.#epoch && !isSame)) return refuse('staleEpoch');
    if (!isSame && now < this.#leaseUntil) return refuse('leaseHeld');
    if (bootId !== '' && bootId !== String(this.#boot)) return refuse('wrongBoot');
    this.#epoch = epoch;
    this.#owner = owner;
    this.#leaseUntil = Math.max(this.#leaseUntil, leaseUntil);
    return {
      worker: '',
      bootId: String(this.#boot),
      clockMs: now,
      sequence: acknowledged,
      state: 'live',
      dataCentre: 'dc1',
      rack: 'r',
      room: size,
      speed: 1,
      epoch,
      owner,
      leaseUntil: this.#leaseUntil,
      full: true,
      tasks: [],
      changes: [],
    };
  }
}

/** Candidate that raises its provisional epoch whenever a worker reports a higher one. */
class PeerModel {
  public readonly clock: DriftingClock;
  readonly #name: string;
  readonly #workers: readonly WorkerModel[];
  #shard: Shard;

  public constructor(name: string, rate: number, workers: readonly WorkerModel[], epoch: number) {
    this.clock = new DriftingClock(rate);
    this.#name = name;
    this.#workers = workers;
    this.#shard = this.#createShard(epoch);
  }

  public get holdsMajority(): boolean {
    return this.#shard.hasMajority;
  }

  public poll(index: number, advance: () => void): void {
    const next = this.#shard.createRenewal(`w${index}`);
    if (next === undefined) return;
    const sentAt = this.clock.now();
    advance();
    const answer = this.#workers[index]?.renew(next.renewal);
    advance();
    if (answer === undefined) return;
    if (!('refusal' in answer)) this.#shard.applyReport(`w${index}`, answer, sentAt);
    else if (answer.refusal === 'staleEpoch') this.#shard = this.#createShard(answer.epoch + 1);
    else this.#shard.applyRefusal(`w${index}`, answer);
  }

  #createShard(epoch: number): Shard {
    const { policy, ...parts } = createDependencies(this.clock);
    const identity = { shard: 's1', dataCentre: 'dc1', epoch, owner: this.#name };
    const shard = new Shard({ ...parts, ...identity, provisional: true }, this.#name, policy);
    shard.applyHosts(
      this.#workers.map((_, index) => ({
        id: `w${index}`,
        role: 'worker',
        state: 'live',
        dataCentre: 'dc1',
        address: `w${index}`,
      })),
    );
    return shard;
  }
}

describe('LeaseMajority', () => {
  it('gives the next owner a majority only after a paused owner with a slow clock has lost its own', () => {
    const workers = [1.0049, 1.0049, 1.0049].map((rate) => new WorkerModel(rate));
    const first = new PeerModel('one', 0.9951, workers, 1);
    const second = new PeerModel('two', 1, workers, 2);
    const advance = (ms: number): void => {
      for (const { clock } of [...workers, first, second]) clock.advance(ms);
    };
    const poll = (peer: PeerModel): void => {
      workers.forEach((_, index) => {
        peer.poll(index, () => undefined);
      });
    };
    poll(first);
    poll(first);
    poll(first);
    expect(first.holdsMajority).to.equal(true);
    let elapsedMs = 0;
    while (!second.holdsMajority && elapsedMs < 20_000) {
      advance(10);
      elapsedMs += 10;
      poll(second);
      expect(first.holdsMajority && second.holdsMajority).to.equal(false);
    }
    expect(second.holdsMajority).to.equal(true);
  });

  it('never gives two peers a majority under random polls, restarts and pauses', () => {
    let majorityCount = 0;
    const run = (seed: number, workerCount: number): void => {
      let state = seed;
      const draw = (bound: number): number => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return Math.floor((state / 2 ** 32) * bound);
      };
      const drawRate = (): number => 0.9951 + draw(98) / 10_000;
      const workers = Array.from({ length: workerCount }, () => new WorkerModel(drawRate()));
      const peers = ['one', 'two', 'three'].map(
        (name) => new PeerModel(name, drawRate(), workers, 1 + draw(2)),
      );
      const advance = (ms: number): void => {
        for (const { clock } of [...workers, ...peers]) clock.advance(ms);
      };
      let active = draw(3);
      for (let step = 0; step < 400; step += 1) {
        if (draw(60) === 0) active = draw(3);
        if (draw(150) === 0) workers[draw(workerCount)]?.reboot();
        advance(draw(250));
        const poller = draw(4) === 0 ? draw(3) : active;
        peers[poller]?.poll(draw(workerCount), () => {
          advance(draw(20));
        });
        const holders = peers.filter(({ holdsMajority }) => holdsMajority);
        majorityCount += holders.length;
        expect(holders.length, `seed ${seed}, step ${step}`).to.be.lessThan(2);
      }
    };
    assert(property(integer({ min: 1, max: 2 ** 31 }), integer({ min: 1, max: 5 }), run), {
      numRuns: 150,
      seed: 7,
    });
    expect(majorityCount).to.be.greaterThan(1000);
  });
});
