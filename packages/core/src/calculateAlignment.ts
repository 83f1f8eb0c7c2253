import type { Resources } from '@toucanline/schema';

const divide = (part: number, whole: number): number => (whole > 0 ? part / whole : 0);

/**
 * Calculates how well the shape of a task matches what a worker has left: the cosine between the two, as
 * parts of the worker's capacity. A task of the same shape leaves no resource that nothing can use.
 *
 * @param size - size of the task
 * @param free - what the worker has left
 * @param room - capacity of the worker
 * @returns a number from 0 to 1; 1 if both have the same shape
 */
export const calculateAlignment = (size: Resources, free: Resources, room: Resources): number => {
  // What accelerators need is kept beside them, so free ones say nothing about other work.
  const accelerators = size.accelerators > 0 ? divide(free.accelerators, room.accelerators) : 0;
  const processors = divide(free.processors, room.processors);
  const memory = divide(free.memoryMb, room.memoryMb);
  const wanted = [
    divide(size.processors, room.processors),
    divide(size.memoryMb, room.memoryMb),
    divide(size.accelerators, room.accelerators),
  ] as const;
  const product = wanted[0] * processors + wanted[1] * memory + wanted[2] * accelerators;
  return divide(product, Math.hypot(...wanted) * Math.hypot(processors, memory, accelerators));
};
