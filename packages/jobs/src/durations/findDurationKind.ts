import type { StepInstance } from '../StepInstance.js';
import type { DurationKind } from './DurationKind.js';

/** Base of the ratios of steps without a declared duration, in milliseconds: the shortest duration that is expected. */
const undeclaredBaseMs = 50;
/** Length at which names are cut: callers choose them, and up to 512 keys are kept and stored. */
const maxNameLength = 64;

/**
 * Finds the kinds of work of a step: its queue; its queue and size class; its queue, account and image, or size class
 * without an image. Gangs, opportunistic tasks and steps without a declared duration form kinds of their own.
 *
 * @param step - step to classify
 * @returns keys of the kinds, from general to specific, and the base of their ratios
 */
export const findDurationKind = ({ job, description }: StepInstance): DurationKind => {
  const { estimateMs, image, size, isGang, isOpportunistic } = description;
  const mode = isGang === true ? 'gang' : isOpportunistic === true ? 'opportunistic' : 'task';
  const base = estimateMs > 0 ? mode : `${mode}/undeclared`;
  const queue = job.record.queue.slice(0, maxNameLength);
  const account = job.record.account.slice(0, maxNameLength);
  // Sizes within a factor of two form a class.
  const processorClass = Math.ceil(Math.log2(Math.max(1, size.milliProcessors)));
  const sizeClass = `${processorClass}/${Math.ceil(Math.log2(size.accelerators + 1))}`;
  const work = image === undefined ? ['size', sizeClass] : ['image', image.slice(0, maxNameLength)];
  return {
    keys: [
      { level: 'queue', key: JSON.stringify([base, queue]) },
      { level: 'size', key: JSON.stringify([base, queue, sizeClass]) },
      { level: 'account', key: JSON.stringify([base, queue, account, ...work]) },
    ],
    baseMs: estimateMs > 0 ? estimateMs : undeclaredBaseMs,
  };
};
