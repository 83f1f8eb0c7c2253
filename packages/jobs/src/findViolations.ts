import type { Room } from '@toucanline/schema';
import type { Command } from './Command.js';

/** A promise that a decision would break. */
interface Violation {
  readonly rule: 'room' | 'cap' | 'dependencies' | 'suspension';
  readonly task: string;
  readonly worker: string;
}

const isOvercommitted = ({ milliProcessors, memoryMb, accelerators }: Room): boolean =>
  milliProcessors < 0 || memoryMb < 0 || accelerators < 0;

/**
 * Checks the starts of a planning pass against what must hold before each start. It repeats conditions of the
 * planner by other means, so that a mistake there shows in logs and metrics, not only at the workers.
 *
 * @param orders - orders of the pass; their tasks are placed already
 * @returns what is broken; empty as long as the planner is right
 */
export const findViolations = (orders: readonly Command[]): readonly Violation[] =>
  orders.flatMap((order): readonly Violation[] => {
    if (order.kind !== 'start') return [];
    const { task, worker } = order;
    const broken = (rule: Violation['rule']): Violation => ({
      rule,
      task: task.name,
      worker: worker.id,
    });
    const violations: Violation[] = [];
    // What an earlier leader left may exceed the room; nothing new may start there then either.
    if (isOvercommitted(worker.free)) violations.push(broken('room'));
    if (task.step.job.account.isOverCap) violations.push(broken('cap'));
    if (!task.step.isReady) violations.push(broken('dependencies'));
    if (worker.isSuspended) violations.push(broken('suspension'));
    return violations;
  });
