import type {
  Assignment,
  Authority,
  Renewal,
  Report,
  Resources,
  TaskCommand,
  TaskReport,
  TaskStart,
  TaskState,
  WorkerRefusal,
} from '@toucanline/schema';
import { addResources, coversResources } from '../src/index.js';
import type { ExecutionChecker } from './ExecutionChecker.js';

/** Task on a model worker. */
interface ModelTask {
  readonly assignment: Assignment;
  readonly state: TaskState;
  readonly sequence: number;
  readonly endsAt: number;
  readonly cancelled?: boolean;
}

const room: Resources = { processors: 4, memoryMb: 4096, accelerators: 0 };

/**
 * Model of a worker to which the time is passed with each call. The command of a task has the form
 * `RUNTIME OUTCOME`, with the run time in milliseconds on the clock of the worker.
 */
export class ModelWorker {
  public readonly id: string;
  readonly #checker: ExecutionChecker;
  readonly #clockRate: number;
  readonly #tasks = new Map<string, ModelTask>();
  #boot = 1;
  #bootedAt = -3_600_000;
  #epoch = 0;
  #owner = '';
  #leaseUntil = 0;
  #sequence = 1;
  #isLeaving = false;

  /**
   * @param id - name of the worker
   * @param clockRate - speed of its clock relative to the clock of the owner
   * @param checker - checks the tasks that the workers run
   */
  public constructor(id: string, clockRate: number, checker: ExecutionChecker) {
    this.id = id;
    this.#clockRate = clockRate;
    this.#checker = checker;
  }

  /** Sequence number of the newest change. */
  public get sequence(): number {
    return this.#sequence;
  }

  /** Starts to leave: the worker refuses new tasks and reports the state `leaving`. */
  public leave(): void {
    this.#isLeaving = true;
    this.#sequence += 1;
  }

  /** Restarts the worker: all tasks end, and a new incarnation takes new work. */
  public reboot(now: number): void {
    for (const task of this.#running) this.#checker.recordEnd(this.id, task.assignment);
    this.#tasks.clear();
    this.#boot += 1;
    this.#bootedAt = now;
    this.#epoch = 0;
    this.#owner = '';
    this.#leaseUntil = 0;
    this.#sequence = 1;
    this.#isLeaving = false;
  }

  /** Ends the tasks whose run time is over or whose lease has expired. */
  public advance(now: number): void {
    const time = this.#readClock(now);
    for (const task of this.#running) {
      const outcome = task.assignment.request.command.split(' ')[1];
      if (time >= this.#leaseUntil) this.#end(task, 'lapsed');
      else if (time >= task.endsAt) this.#end(task, outcome === 'fail' ? 'failed' : 'succeeded');
    }
  }

  public start(now: number, command: TaskStart): WorkerRefusal | undefined {
    const { authority, assignment, latestStartAt } = command;
    const refused = this.#check(authority);
    if (refused !== undefined) return refused;
    const time = this.#readClock(now);
    if (this.#tasks.has(assignment.taskId)) return this.#refuse('duplicate');
    if (time > latestStartAt) return this.#refuse('tooLate');
    if (this.#isLeaving) return this.#refuse('leaving');
    if (time >= this.#leaseUntil) return this.#refuse('noLease');
    let used = assignment.request.size;
    for (const task of this.#running) used = addResources(used, task.assignment.request.size);
    if (!coversResources(room, used)) {
      this.#checker.recordViolation(`${assignment.taskId} exceeds the capacity of ${this.id}`);
      return this.#refuse('noRoom');
    }
    const runTime = Number(assignment.request.command.split(' ')[0]);
    this.#sequence += 1;
    const task: ModelTask = {
      assignment,
      state: 'running',
      sequence: this.#sequence,
      endsAt: time + runTime,
    };
    this.#tasks.set(assignment.taskId, task);
    this.#checker.recordStart(this.id, assignment);
    return undefined;
  }

  public command({ authority, taskId, action, cancelled }: TaskCommand): WorkerRefusal | undefined {
    const refused = this.#check(authority);
    if (refused !== undefined) return refused;
    let task = this.#tasks.get(taskId);
    if (task === undefined) return this.#refuse('unknownTask');
    if (cancelled === true) {
      this.#sequence += 1;
      task = { ...task, cancelled, sequence: this.#sequence };
      this.#tasks.set(taskId, task);
    }
    if (action === 'stop' && task.state === 'running') this.#end(task, 'stopped');
    return undefined;
  }

  /** Applies a renewal of the lease; {@link ModelWorker.report} returns the report. */
  public renew({ authority, leaseUntil }: Renewal): WorkerRefusal | undefined {
    const refused = this.#check(authority);
    if (refused === undefined) this.#leaseUntil = Math.max(this.#leaseUntil, leaseUntil);
    return refused;
  }

  public report(now: number, { acknowledged, full }: Renewal): Report {
    const tasks = [...this.#tasks.values()];
    const changed = tasks.filter(({ sequence }) => sequence > acknowledged);
    return {
      worker: this.id,
      bootId: `${this.id}-${this.#boot}`,
      clockMs: this.#readClock(now),
      sequence: this.#sequence,
      state: this.#isLeaving ? 'leaving' : 'live',
      dataCentre: 'dc1',
      rack: 'rack',
      room,
      speed: 1,
      epoch: this.#epoch,
      owner: this.#owner,
      leaseUntil: this.#leaseUntil,
      full,
      tasks: full ? tasks.map((task) => this.#describe(task)) : [],
      changes: full
        ? []
        : changed.map((task) => {
            const { assignment, ...change } = this.#describe(task);
            return { taskId: assignment.taskId, ...change };
          }),
    };
  }

  get #running(): readonly ModelTask[] {
    return [...this.#tasks.values()].filter(({ state }) => state === 'running');
  }

  #readClock(now: number): number {
    return (now - this.#bootedAt) * this.#clockRate;
  }

  #refuse(refusal: WorkerRefusal['refusal']): WorkerRefusal {
    return { refusal, detail: refusal, epoch: this.#epoch, owner: this.#owner };
  }

  #check({ epoch, owner, bootId }: Authority): WorkerRefusal | undefined {
    const isSame = epoch === this.#epoch && owner === this.#owner;
    if (epoch < this.#epoch || (epoch === this.#epoch && !isSame))
      return this.#refuse('staleEpoch');
    if (bootId !== '' && bootId !== `${this.id}-${this.#boot}`) return this.#refuse('wrongBoot');
    this.#epoch = epoch;
    this.#owner = owner;
    return undefined;
  }

  #end(task: ModelTask, state: TaskState): void {
    this.#sequence += 1;
    this.#tasks.set(task.assignment.taskId, { ...task, state, sequence: this.#sequence });
    this.#checker.recordEnd(this.id, task.assignment);
  }

  #describe({ assignment, state, cancelled }: ModelTask): TaskReport {
    const { taskId, request } = assignment;
    return {
      assignment,
      state,
      usage: request.size,
      ...(cancelled === true ? { cancelled } : {}),
      ...(state === 'succeeded' ? { output: taskId } : {}),
    };
  }
}
