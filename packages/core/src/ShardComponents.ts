import type { Acceptance } from './Acceptance.js';
import type { Dispatcher } from './Dispatcher.js';
import type { FairShare } from './FairShare.js';
import type { Fleet } from './Fleet.js';
import type { RequestRestorer } from './RequestRestorer.js';
import type { LeaseMajority } from './LeaseMajority.js';
import type { LimitEnforcer } from './LimitEnforcer.js';
import type { RelinquishedWork } from './RelinquishedWork.js';
import type { OveruseEnforcer } from './OveruseEnforcer.js';
import type { Quarantine } from './Quarantine.js';
import type { Recovery } from './Recovery.js';
import type { RequestLifecycle } from './RequestLifecycle.js';
import type { RequestTable } from './RequestTable.js';
import type { ShardDescription } from './ShardDescription.js';
import type { TakeoverReceiver } from './TakeoverReceiver.js';
import type { TaskStopper } from './TaskStopper.js';
import type { TaskTracker } from './TaskTracker.js';
import type { TeamLedger } from './TeamLedger.js';
import type { UrgentPreemption } from './UrgentPreemption.js';
import type { WaitingQueue } from './WaitingQueue.js';

/** Components of a shard. */
export interface ShardComponents {
  readonly fleet: Fleet;
  readonly table: RequestTable;
  readonly queue: WaitingQueue;
  readonly ledger: TeamLedger;
  readonly fairShare: FairShare;
  readonly recovery: Recovery;
  readonly majority: LeaseMajority;
  readonly acceptance: Acceptance;
  readonly lifecycle: RequestLifecycle;
  readonly tracker: TaskTracker;
  readonly stopper: TaskStopper;
  readonly enforcer: LimitEnforcer;
  readonly preemption: UrgentPreemption;
  readonly quarantine: Quarantine;
  readonly overuse: OveruseEnforcer;
  readonly dispatcher: Dispatcher;
  readonly restorer: RequestRestorer;
  readonly description: ShardDescription;
  readonly relinquished: RelinquishedWork;
  readonly takeoverReceiver: TakeoverReceiver;
}
