import { expect } from 'chai';
import { createFailure } from '../src/index.js';
import { createOwnerFixture } from './createOwnerFixture.js';

describe('the command of a cancelled request', () => {
  // Guards against an acceptance without a command in the journal: a new owner that finds it
  // without the completion would start the request with nothing to run.
  it('is part of each acceptance that is written, and is kept until the completion is in the journal', () => {
    const { shard, submission, journal, countStarts } = createOwnerFixture();
    const request = { ...submission.request, command: 'render' };
    shard.submit({ ...submission, request })._unsafeUnwrap();
    shard.cancel(request.id, 'a');
    const readCommand = (): string | undefined =>
      shard.createSnapshot().requests[0]?.request.command;
    countStarts(createFailure('storeUnavailable', 'down'));
    expect(readCommand()).to.equal('render');
    for (let round = 0; round < 4; round += 1) countStarts();
    const accepted = journal.flatMap((entry) => (entry.entry === 'accepted' ? [entry] : []));
    expect(accepted.map((entry) => entry.request.command)).to.deep.equal(['render']);
    expect(readCommand()).to.equal('');
  });
});
