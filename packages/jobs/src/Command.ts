import type { Task } from './Task.js';
import type { Worker } from './Worker.js';

/** A command of the scheduler. The host environment executes it and reports the outcome. */
export type Command =
  | {
      readonly kind: 'start';
      readonly task: Task;
      readonly worker: Worker;
      readonly run: number;
      readonly permit: string | undefined;
    }
  | { readonly kind: 'stop'; readonly task: Task; readonly worker: Worker; readonly run: number }
  | {
      readonly kind: 'advise';
      readonly stepKey: string;
      /** Service whose workers may run the step. */
      readonly service: string;
      readonly workers: readonly Worker[];
      /** Expected duration of the call, in milliseconds. */
      readonly expectedMs: number;
      /** Validity of the permits, by the settings that apply to the job, in milliseconds. */
      readonly validMs: number;
      readonly priority: number;
      /** Whether no waiting task has room now, so that the permits are of no use yet. */
      readonly isEarly: boolean;
    };
