import type { DaemonSettings } from './DaemonSettings.js';
import type { EvacuationTimes } from './EvacuationTimes.js';
import { hostLimits } from './hostLimits.js';
import type { HostTimes } from './HostTimes.js';

/** Bounds of a site, from the settings of a host. */
type SiteBounds = Pick<
  DaemonSettings,
  'stopMs' | 'maxLeaseMs' | 'statusMs' | 'revokeMs' | 'graceMs' | 'evacuationMs'
>;

/** Number of delayed reports that a lease outlives: reports renew leases, and some are lost. */
const reportsPerLease = 4;
/** Number of watch calls, each of which confirms the configuration, in the longest age of a confirmation. */
const watchCallsPerAge = 2.5;
/** Retention relative to the time for which the platform requires it: clocks jump, and the cleanup is periodic. */
const retentionFactor = 1.5;
/** Number of watch calls for evacuations in the longest age of their list. */
const evacuationCallsPerAge = 6;
/** Largest shares of the bound for evacuations that are kept as margins. */
const maxEvacuationMarginShare = 0.4;
const maxStartExpiryMarginShare = 0.1;
/** Largest share of the time for withdrawing a key that is kept as a margin. */
const maxRevocationMarginShare = 0.4;

/**
 * Derives the times of a host from the bounds of its site.
 *
 * @param bounds - bounds from the settings of the host
 * @returns times that keep the bounds
 */
export const computeHostTimes = (bounds: SiteBounds): HostTimes => {
  const { stopMs, maxLeaseMs, statusMs, revokeMs, graceMs, evacuationMs } = bounds;
  const maxConfigurationAgeMs = Math.floor(
    revokeMs - Math.min(hostLimits.keyRevocationMarginMs, revokeMs * maxRevocationMarginShare),
  );
  return {
    worker: { maxStopMs: stopMs, maxLeaseMs },
    reportWaitMs: Math.floor(Math.min(hostLimits.reportWaitMs, maxLeaseMs / reportsPerLease)),
    retentionMs: Math.max(hostLimits.minRetentionMs, statusMs * retentionFactor),
    maxConfigurationAgeMs,
    configurationWatchMs: Math.floor(
      Math.min(hostLimits.configurationWatchMs, maxConfigurationAgeMs / watchCallsPerAge),
    ),
    ...(evacuationMs !== undefined && { evacuation: computeEvacuationTimes(evacuationMs) }),
    drainMs: Math.max(0, Math.min(hostLimits.drainMs, graceMs - hostLimits.exitMarginMs)),
  };
};

const computeEvacuationTimes = (boundMs: number): EvacuationTimes => {
  const { evacuationMarginMs, startExpiryMarginMs } = hostLimits;
  const { evacuationWatchMs, minEvacuationWatchMs } = hostLimits;
  const maxAgeMs = boundMs - Math.min(evacuationMarginMs, boundMs * maxEvacuationMarginShare);
  return {
    maxAgeMs,
    startExpiryMs: boundMs - Math.min(startExpiryMarginMs, boundMs * maxStartExpiryMarginShare),
    watchMs: Math.max(
      minEvacuationWatchMs,
      Math.floor(Math.min(evacuationWatchMs, maxAgeMs / evacuationCallsPerAge)),
    ),
  };
};
