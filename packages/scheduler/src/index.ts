/**
 * Scheduler daemon of toucanline.
 *
 * @packageDocumentation
 */
export { SchedulerCommand } from './SchedulerCommand.js';
export { SchedulerDaemon } from './SchedulerDaemon.js';
export { ShardRunner } from './ShardRunner.js';
