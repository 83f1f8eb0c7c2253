import type { JournalEntry, TaskCommand, TaskStart } from '@toucanline/schema';

/** What a shard wants its host process to do. */
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
      /** Writes an entry to the journal and confirms the ticket. */
      readonly effect: 'commit';
      readonly ticket: number;
      readonly entry: JournalEntry;
    }
  | {
      /** Tells whoever waits for a request that its state changed. */
      readonly effect: 'changed';
      readonly requestId: string;
    }
  | {
      /** Starts to poll a worker. */
      readonly effect: 'poll';
      readonly worker: string;
    }
  | {
      /** Ends the poll that a worker holds open: a full report is needed now. */
      readonly effect: 'interrupt';
      readonly worker: string;
      readonly address: string;
    }
  | {
      /** Gives the shard up: a worker accepted another owner. */
      readonly effect: 'standDown';
      /** Highest epoch that the worker reported. */
      readonly epoch: number;
      readonly detail: string;
    };
