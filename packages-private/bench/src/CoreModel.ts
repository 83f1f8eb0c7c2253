import { Policy } from '@toucanline/core';
import type { Assignment, Report, TaskDelta } from '@toucanline/schema';
import type { Arrival } from './Arrival.js';
import { ModelShard } from './ModelShard.js';
import { SchedulerModel } from './SchedulerModel.js';
import type { SeededRandom } from './SeededRandom.js';
import type { TaskObserver } from './TaskObserver.js';
import { VirtualClock } from './VirtualClock.js';

const loadExchangeMs = 1000;
/** Far beyond the end of every simulation, so that no request expires. */
const deadlineMs = 1e12;

/** Teams and queues that a trace uses. */
interface TraceDescription {
  readonly teams: readonly string[];
  /** Kind of work by name of the queue. */
  readonly queues: ReadonlyMap<string, Arrival['request']['kind']>;
}

/**
 * Simulates the decision core with one shard per data centre; the shards exchange their loads every
 * second.
 */
export class CoreModel extends SchedulerModel {
  readonly #clock = new VirtualClock();
  readonly #shards: readonly ModelShard[];
  readonly #runMs = new Map<string, number>();
  #nextExchangeAt = 0;

  /**
   * @param shards - initial reports of the workers of each shard
   * @param work - teams and queues of the trace
   * @param observer - notified when tasks start and end
   * @param random - source of the core's random choices
   */
  public constructor(
    shards: readonly (readonly Report[])[],
    work: TraceDescription,
    observer: TaskObserver,
    random: SeededRandom,
  ) {
    super();
    const names = shards.map((_, index) => `s${index}`);
    const policy = new Policy({
      schema: 1,
      shards: Object.fromEntries(names.map((name) => [name, { dataCentre: name }])),
      queues: Object.fromEntries(
        [...work.queues].map(([name, kind]) => [name, { kind, maxWaiting: 1_000_000 }]),
      ),
      teams: Object.fromEntries(work.teams.map((team) => [team, { share: 1 }])),
    });
    const behaviour = {
      getRunTimeMs: ({ request }: Assignment) => this.#runMs.get(request.id) ?? request.runTimeMs,
      onStart: ({ request, index }: Assignment, speed: number) => {
        observer.recordStart(request, index, this.#clock.now(), speed);
      },
      onEnd: ({ request }: Assignment, _state: TaskDelta['state'], speed: number) => {
        observer.recordEnd(request, speed);
      },
    };
    this.#shards = shards.map(
      (reports, index) =>
        new ModelShard(`s${index}`, policy, this.#clock, random, reports, behaviour),
    );
    for (const { shard } of this.#shards) shard.loadJournal([]);
  }

  /** {@inheritDoc SchedulerModel.name} */
  public override get name(): string {
    return 'core';
  }

  /** {@inheritDoc SchedulerModel.submit} */
  public override submit({ request, shard, runMs }: Arrival): void {
    this.#runMs.set(request.id, runMs);
    const result = this.#shards[shard]?.shard.submit({
      call: 'submit',
      shard: `s${shard}`,
      request,
      remainingMs: deadlineMs,
      detached: 'no',
    });
    if (result?.isErr() === true) throw new Error(`${request.id}: ${result.error.detail}`);
  }

  /** {@inheritDoc SchedulerModel.step} */
  public override step(nowMs: number): void {
    this.#clock.advanceTo(nowMs);
    const isExchangeDue = nowMs >= this.#nextExchangeAt;
    if (isExchangeDue) this.#nextExchangeAt = nowMs + loadExchangeMs;
    const loads = isExchangeDue ? this.#shards.map(({ shard }) => shard.describeLoad()) : [];
    for (const model of this.#shards) {
      const others = loads.filter(({ shard }) => shard !== model.shard.name);
      model.step(isExchangeDue ? others : undefined);
    }
  }
}
