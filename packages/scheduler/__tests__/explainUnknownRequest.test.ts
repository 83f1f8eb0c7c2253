import { createFailure, errorTable, periods } from '@toucanline/core';
import { expect } from 'chai';
import { explainUnknownRequest } from '../src/explainUnknownRequest.js';

describe('the failure for a request that the owner of a shard does not know', () => {
  const explain = (epoch: number, servedMs: number, hasJournal = true): string =>
    explainUnknownRequest(createFailure('unknownRequest', ''), { epoch, servedMs, hasJournal })
      .kind;

  it('is unknownRequest only from the first owner, before records expire', () => {
    // Guards against status 404 for a request that was answered with 202 and then lost with its entry and its owner.
    expect(explain(1, 0)).to.equal('unknownRequest');
    expect(explain(1, periods.retentionMs)).to.equal('recordMissing');
    expect(explain(2, 10_000)).to.equal('recordMissing');
    expect(errorTable.recordMissing).to.include({ status: 410, ran: 'unknown', retry: false });
  });

  it('leaves the outcome open until the entries have resubmitted their requests and the journal is read', () => {
    // Guards against reporting a request as lost that its entry is about to resubmit.
    expect(explain(2, 9999)).to.equal('timeout');
    expect(explain(2, 60_000, false)).to.equal('timeout');
  });

  it('leaves other failures unchanged', () => {
    const failure = createFailure('linkLost', '');
    expect(explainUnknownRequest(failure, { epoch: 2, servedMs: 0, hasJournal: true })).to.equal(
      failure,
    );
  });
});
