/**
 * Scheduling engine for jobs of dependent steps.
 *
 * @packageDocumentation
 */
export { AccountUsage } from './AccountUsage.js';
export type { Candidate } from './Candidate.js';
export type { TaskAssignment } from './TaskAssignment.js';
export type { PendingStep } from './PendingStep.js';
export { Contention } from './Contention.js';
export { ReportHandler } from './ReportHandler.js';
export { JobRateLimiter } from './JobRateLimiter.js';
export { DeclaredDurations } from './durations/DeclaredDurations.js';
export { DurationEstimates } from './durations/DurationEstimates.js';
export type { DurationLevel } from './durations/DurationLevel.js';
export type { DurationOutcome } from './durations/DurationOutcome.js';
export { LearnedDurations } from './durations/LearnedDurations.js';
export { BacklogForecast } from './backlog/BacklogForecast.js';
export { ForecastAdmission } from './backlog/ForecastAdmission.js';
export type { ForecastRefusal } from './backlog/ForecastRefusal.js';
export { forecastLimits } from './backlog/forecastLimits.js';
export { GangTaskPlacement } from './GangTaskPlacement.js';
export { IndependentTaskPlacement } from './IndependentTaskPlacement.js';
export { Job } from './Job.js';
export { JobRegistry } from './JobRegistry.js';
export { QueueServices } from './QueueServices.js';
export { QueueSettings } from './QueueSettings.js';
export type { StoreItem } from './StoreItem.js';
export { MetadataStore } from './MetadataStore.js';
export { StoreDecoder } from './StoreDecoder.js';
export type { Command } from './Command.js';
export { PermitCache } from './PermitCache.js';
export { PlacementAdvisor } from './PlacementAdvisor.js';
export type { PlacementRequest } from './PlacementRequest.js';
export { PlannedResources } from './PlannedResources.js';
export { Planner } from './Planner.js';
export { Preemption } from './Preemption.js';
export { Scheduler } from './Scheduler.js';
export type { StartOutcome } from './StartOutcome.js';
export { StepInstance } from './StepInstance.js';
export { StepDuration } from './StepDuration.js';
export { Task } from './Task.js';
export { TaskPlacement } from './TaskPlacement.js';
export { Worker } from './Worker.js';
export type { WorkerBounds } from './WorkerBounds.js';
export { WorkerClient } from './WorkerClient.js';
export { WorkerPool } from './WorkerPool.js';
export { WorkerSpeed } from './WorkerSpeed.js';
export { comparePendingSteps } from './comparePendingSteps.js';
export { describePlacements } from './describePlacements.js';
export { PendingProgress } from './PendingProgress.js';
export { formatIncarnation } from './formatIncarnation.js';
export { findViolations } from './findViolations.js';
export { computeWorkerCost } from './computeWorkerCost.js';
export { Reservations } from './Reservations.js';
export { resources } from './resources.js';
export { schedulingLimits } from './schedulingLimits.js';
