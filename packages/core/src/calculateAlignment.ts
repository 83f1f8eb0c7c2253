import type { Resources } from '@toucanline/schema';

const divide = (part: number, whole: number): number => (whole > 0 ? part / whole : 0);

/**
 * Calculates how well the resource shape of a task matches the free capacity of a worker: the cosine between the
 * two, both as fractions of the worker's capacity. A task of the same shape strands no resource.
 *
 * @param size - size of the task
 * @param free - free capacity of the worker
 * @param totalCapacity - total capacity of the worker
 * @returns a number from 0 to 1; 1 if both have the same shape
 */
export const calculateAlignment = (
  size: Resources,
  free: Resources,
  totalCapacity: Resources,
): number => {
  // Processors and memory beside free accelerators are reserved, so accelerators are ignored for other work.
  const accelerators =
    size.accelerators > 0 ? divide(free.accelerators, totalCapacity.accelerators) : 0;
  const processors = divide(free.processors, totalCapacity.processors);
  const memory = divide(free.memoryMb, totalCapacity.memoryMb);
  const wanted = [
    divide(size.processors, totalCapacity.processors),
    divide(size.memoryMb, totalCapacity.memoryMb),
    divide(size.accelerators, totalCapacity.accelerators),
  ] as const;
  const product = wanted[0] * processors + wanted[1] * memory + wanted[2] * accelerators;
  return divide(product, Math.hypot(...wanted) * Math.hypot(processors, memory, accelerators));
};
