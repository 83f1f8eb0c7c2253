/** Engine for jobs of dependent steps.
 *
 * @packageDocumentation
 */
export { AccountUsage } from './AccountUsage.js';
export type { Candidate } from './Candidate.js';
export type { Choice } from './Choice.js';
export type { Demand } from './Demand.js';
export { Contention } from './Contention.js';
export { EndIntake } from './EndIntake.js';
export { EntitledRate } from './EntitledRate.js';
export { GangPlacement } from './GangPlacement.js';
export { ImageDurations } from './ImageDurations.js';
export { IndependentPlacement } from './IndependentPlacement.js';
export { Job } from './Job.js';
export { JobBook } from './JobBook.js';
export { JobTerms } from './JobTerms.js';
export type { StoreItem } from './StoreItem.js';
export { MetadataStore } from './MetadataStore.js';
export { OperatorFeed } from './OperatorFeed.js';
export type { Order } from './Order.js';
export { PermitBook } from './PermitBook.js';
export { PlacementAdvisor } from './PlacementAdvisor.js';
export type { PlacementRequest } from './PlacementRequest.js';
export { PlannedRoom } from './PlannedRoom.js';
export { Planner } from './Planner.js';
export { Preemption } from './Preemption.js';
export { Scheduler } from './Scheduler.js';
export type { StartOutcome } from './StartOutcome.js';
export { StepRun } from './StepRun.js';
export { StepWork } from './StepWork.js';
export { Task } from './Task.js';
export { TaskPlacement } from './TaskPlacement.js';
export { Worker } from './Worker.js';
export { WorkerControl } from './WorkerControl.js';
export { WorkerPool } from './WorkerPool.js';
export { WorkerSpeed } from './WorkerSpeed.js';
export { compareDemands } from './compareDemands.js';
export { describePlacements } from './describePlacements.js';
export { ProgressLedger } from './ProgressLedger.js';
export { findViolations } from './findViolations.js';
export { rateWorker } from './rateWorker.js';
export { Reservations } from './Reservations.js';
export { rooms } from './rooms.js';
export { schedulingLimits } from './schedulingLimits.js';
