import type { JournalEntry, TaskCommand, TaskStart } from '@toucanline/schema';

/** Action that a shard requests from its host process. */
export type Effect =
  | {
      /** Sends a start command to a worker. */
      readonly effect: 'start';
      readonly worker: string;
      readonly address: string;
      readonly start: TaskStart;
    }
  | {
      /** Sends another command to a worker. */
      readonly effect: 'command';
      readonly worker: string;
      readonly address: string;
      readonly command: TaskCommand;
    }
  | {
      /** Writes an entry to the journal and reports the result for the ticket. */
      readonly effect: 'commit';
      readonly ticket: number;
      readonly entry: JournalEntry;
    }
  | {
      /** Notifies everyone who waits for a request of a change of its state. */
      readonly effect: 'changed';
      readonly requestId: string;
    }
  | {
      /** Starts polling a worker. */
      readonly effect: 'poll';
      readonly worker: string;
    }
  | {
      /** Ends the long poll that a worker holds open, because a full report is needed at once. */
      readonly effect: 'interrupt';
      readonly worker: string;
      readonly address: string;
    }
  | {
      /** Gives up the ownership of the shard, because a worker accepted another owner. */
      readonly effect: 'standDown';
      /** Highest epoch that the worker reported. */
      readonly epoch: number;
      readonly detail: string;
    };
