import { CancelCommand } from './CancelCommand.js';
import { ConfigCheckCommand } from './ConfigCheckCommand.js';
import { ConfigDiffCommand } from './ConfigDiffCommand.js';
import { ConfigHistoryCommand } from './ConfigHistoryCommand.js';
import { ConfigPromoteCommand } from './ConfigPromoteCommand.js';
import { ConfigStatusCommand } from './ConfigStatusCommand.js';
import { ConfigTryCommand } from './ConfigTryCommand.js';
import { ConfigUndoCommand } from './ConfigUndoCommand.js';
import { DataCentreLostCommand } from './DataCentreLostCommand.js';
import { DataCentreReturnedCommand } from './DataCentreReturnedCommand.js';
import { DrainCommand } from './DrainCommand.js';
import { ExplainCommand } from './ExplainCommand.js';
import { KeyGrantCommand } from './KeyGrantCommand.js';
import { KeyListCommand } from './KeyListCommand.js';
import { KeyWithdrawCommand } from './KeyWithdrawCommand.js';
import { ShardsCommand } from './ShardsCommand.js';
import { StatusCommand } from './StatusCommand.js';
import { SubmitCommand } from './SubmitCommand.js';
import { TeamsCommand } from './TeamsCommand.js';
import { TimelineCommand } from './TimelineCommand.js';
import { WaitCommand } from './WaitCommand.js';
import { WhyCommand } from './WhyCommand.js';
import { WorkersCommand } from './WorkersCommand.js';

/** All commands by name. An explicit table, so that the program does not scan a folder when it starts. */
export const commandTable = {
  'config:check': ConfigCheckCommand,
  'config:diff': ConfigDiffCommand,
  'config:try': ConfigTryCommand,
  'config:promote': ConfigPromoteCommand,
  'config:undo': ConfigUndoCommand,
  'config:status': ConfigStatusCommand,
  'config:history': ConfigHistoryCommand,
  'key:grant': KeyGrantCommand,
  'key:withdraw': KeyWithdrawCommand,
  'key:list': KeyListCommand,
  submit: SubmitCommand,
  status: StatusCommand,
  wait: WaitCommand,
  cancel: CancelCommand,
  workers: WorkersCommand,
  shards: ShardsCommand,
  teams: TeamsCommand,
  why: WhyCommand,
  explain: ExplainCommand,
  drain: DrainCommand,
  'datacentre:lost': DataCentreLostCommand,
  'datacentre:returned': DataCentreReturnedCommand,
  timeline: TimelineCommand,
};
