import { expect } from 'chai';
import { TurnQueue } from '../src/TurnQueue.js';
import { TurnTask } from '../src/TurnTask.js';

describe('the turns of tasks', () => {
  let nowMs: number;
  let deferred: (() => void)[];
  let slices: string[];
  let queue: TurnQueue;

  class Task extends TurnTask {
    readonly #name: string;
    #remaining: number;

    public constructor(name: string, remaining: number) {
      super();
      this.#name = name;
      this.#remaining = remaining;
    }

    public override runSlice(): boolean {
      nowMs += 1;
      slices.push(this.#name);
      this.#remaining -= 1;
      return this.#remaining > 0;
    }
  }

  beforeEach(() => {
    nowMs = 0;
    deferred = [];
    slices = [];
    queue = new TurnQueue(
      () => nowMs,
      (run) => deferred.push(run),
    );
  });

  /** Ends the turn of the event loop, and counts the slices of the next one. */
  const runTurn = (): number => {
    const before = slices.length;
    for (const run of deferred.splice(0)) run();
    return slices.length - before;
  };

  it('start at once while time is left', () => {
    queue.add(new Task('a', 1));
    expect(slices).to.deep.equal(['a']);
  });

  // Guards against a connection with much to parse that holds the event loop.
  it('end when the time of the turn of the event loop is used up', () => {
    queue.add(new Task('a', 100));
    expect(slices).to.have.length(4);
    queue.add(new Task('b', 1));
    expect(slices).to.have.length(4);
    expect(runTurn()).to.equal(4);
    expect(runTurn()).to.equal(4);
  });

  // Guards against an ordinary call that waits until others have nothing left.
  it('give each task its slice, also the one that was added last', () => {
    for (let count = 0; count < 5; count += 1) queue.add(new Task(`long${count}`, 100));
    queue.add(new Task('short', 1));
    while (!slices.includes('short')) runTurn();
    expect(slices.indexOf('short')).to.be.below(4 + 2 * 6);
  });

  it('do not let new tasks displace those that go on', () => {
    queue.add(new Task('long', 6));
    for (let count = 0; count < 10; count += 1) queue.add(new Task('new', 1));
    runTurn();
    expect(slices.slice(4)).to.include('long');
  });

  // Guards against an event loop that turns without work, and work that is forgotten.
  it('end without tasks, and run all slices of each task', () => {
    queue.add(new Task('a', 9));
    const removed = new Task('removed', 9);
    queue.add(removed);
    queue.remove(removed);
    while (deferred.length > 0) runTurn();
    expect(slices).to.deep.equal(Array.from({ length: 9 }, () => 'a'));
  });
});
