import type { Request, Resources } from '@toucanline/schema';

/**
 * Creates an idempotent batch request with one task.
 *
 * @param id - identifier of the request
 * @param team - name of the team
 * @param size - resources of the task
 * @param runTimeMs - declared run time in milliseconds
 * @returns the request
 */
export const createRequest = (
  id: string,
  team: string,
  size: Resources,
  runTimeMs: number,
): Request => ({
  id,
  digest: id,
  team,
  queue: 'work',
  kind: 'batch',
  idempotent: true,
  urgent: false,
  checkpointable: false,
  detached: false,
  tasks: 1,
  size,
  command: '',
  runTimeMs,
});
