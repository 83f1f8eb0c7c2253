import { Policy } from '@toucanline/core';
import type { Assignment, Report, TaskDelta } from '@toucanline/schema';
import type { Arrival } from './Arrival.js';
import { ModelShard } from './ModelShard.js';
import { SchedulerModel } from './SchedulerModel.js';
import type { SeededRandom } from './SeededRandom.js';
import type { TaskObserver } from './TaskObserver.js';
import { VirtualClock } from './VirtualClock.js';

const noticeMs = 1000;
const deadlineMs = 1e12;

/** What the core needs to know of a trace. */
interface Work {
  readonly teams: readonly string[];
  /** Queues with the kind of their work. */
  readonly queues: ReadonlyMap<string, Arrival['request']['kind']>;
}

/** The core with one shard per data centre; the shards exchange their loads once a second. */
export class CoreModel extends SchedulerModel {
  readonly #clock = new VirtualClock();
  readonly #shards: readonly ModelShard[];
  readonly #runMs = new Map<string, number>();
  #nextNoticeAt = 0;

  /**
   * @param shards - first report of the workers of each shard
   * @param work - teams and queues
   * @param observer - follows the tasks
   * @param random - source of the core's random choices
   */
  public constructor(
    shards: readonly (readonly Report[])[],
    work: Work,
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
      readRunMs: ({ request }: Assignment) => this.#runMs.get(request.id) ?? request.runTimeMs,
      onStart: ({ request, index }: Assignment, speed: number) => {
        observer.noteStart(request, index, this.#clock.now(), speed);
      },
      onEnd: ({ request }: Assignment, _state: TaskDelta['state'], speed: number) => {
        observer.noteEnd(request, speed);
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
    const isNotice = nowMs >= this.#nextNoticeAt;
    if (isNotice) this.#nextNoticeAt = nowMs + noticeMs;
    const loads = isNotice ? this.#shards.map(({ shard }) => shard.describeLoad()) : [];
    for (const model of this.#shards) {
      const others = loads.filter(({ shard }) => shard !== model.shard.name);
      model.step(isNotice ? others : undefined);
    }
  }
}
