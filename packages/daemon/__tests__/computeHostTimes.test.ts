import { expect } from 'chai';
import { computeHostTimes } from '../src/index.js';

/** Bounds in milliseconds as sites set them. */
const sites = [
  { stopMs: 400, maxLeaseMs: 6000, statusMs: 120_000, revokeMs: 5000, graceMs: 6000 },
  { stopMs: 200, maxLeaseMs: 10_000, statusMs: 120_000, revokeMs: 5000, graceMs: 6000 },
];

describe('times of a host', () => {
  for (const site of sites) {
    for (const factor of [0.25, 0.5, 1, 2, 4]) {
      // Guards against leases that end between two reports, keys that stay in use, and hosts that are killed while
      // they still accept calls.
      it(`keep the bounds of a site with leases of ${site.maxLeaseMs} ms, times ${factor}`, () => {
        const bounds = {
          stopMs: site.stopMs * factor,
          maxLeaseMs: site.maxLeaseMs * factor,
          statusMs: site.statusMs * factor,
          revokeMs: site.revokeMs * factor,
          graceMs: site.graceMs * factor,
        };
        const times = computeHostTimes(bounds);
        expect(times.worker).to.deep.equal({
          maxStopMs: bounds.stopMs,
          maxLeaseMs: bounds.maxLeaseMs,
        });
        expect(times.reportWaitMs).to.be.within(1, bounds.maxLeaseMs / 4);
        expect(times.retentionMs).to.be.at.least(bounds.statusMs);
        expect(times.maxConfigurationAgeMs).to.be.within(bounds.revokeMs / 2, bounds.revokeMs - 1);
        expect(times.configurationWatchMs).to.be.within(1, times.maxConfigurationAgeMs / 2);
        expect(times.drainMs).to.be.within(0, Math.max(0, bounds.graceMs - 1000));
      });
    }
  }
});
