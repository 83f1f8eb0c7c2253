import type { Room } from '@toucanline/schema';
import type { Command } from './Command.js';
import type { Evacuations } from './placement/Evacuations.js';

/** An invariant that a start command violates. */
interface Violation {
  readonly rule: 'room' | 'cap' | 'dependencies' | 'suspension' | 'evacuation';
  readonly task: string;
  readonly worker: string;
}

const isOvercommitted = ({ milliProcessors, memoryMb, accelerators }: Room): boolean =>
  milliProcessors < 0 || memoryMb < 0 || accelerators < 0;

/**
 * Checks the start commands of a planning pass against the invariants of each start. It verifies conditions of the
 * planner independently, so that a planner fault appears in logs and metrics, not only on the workers.
 *
 * @param commands - commands of the pass; tasks to be started are already placed
 * @param evacuations - evacuated data centres; undefined if none can be evacuated
 * @returns violated invariants; empty unless the planner is faulty
 */
export const findViolations = (
  commands: readonly Command[],
  evacuations?: Evacuations,
): readonly Violation[] =>
  commands.flatMap((command): readonly Violation[] => {
    if (command.kind !== 'start') return [];
    const { task, worker } = command;
    const createViolation = (rule: Violation['rule']): Violation => ({
      rule,
      task: task.name,
      worker: worker.id,
    });
    const violations: Violation[] = [];
    // Runs of a previous leader may exceed the capacity of the worker; nothing new may start there then either.
    if (isOvercommitted(worker.free)) violations.push(createViolation('room'));
    if (task.step.job.account.isOverCap) violations.push(createViolation('cap'));
    if (!task.step.isReady) violations.push(createViolation('dependencies'));
    if (worker.isSuspended) violations.push(createViolation('suspension'));
    if (evacuations?.covers(worker) === true || evacuations?.isConfirmed === false)
      violations.push(createViolation('evacuation'));
    return violations;
  });
