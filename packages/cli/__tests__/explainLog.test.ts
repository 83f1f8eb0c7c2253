import { expect } from 'chai';
import { explainLog } from '../src/explainLog.js';
import { parseLog } from '../src/parseLog.js';

const id = '0123456789abcdef';
let sequence = 0;

const formatLogLine = (timeMs: number, process: string, event: string, fields: object): string => {
  sequence += 1;
  return JSON.stringify({
    context: { process, ...fields, logLevel: 30 },
    message: event,
    sequence,
    time: timeMs,
  });
};

const submittedFields = {
  request: id,
  queue: 'batch',
  account: 'planning',
  configurationVersion: 4,
  storeMs: 9,
  outcome: 'accepted',
};

const createPlacementFields = (
  run: number,
  term: number,
  placed: string,
  jobAgeMs: number,
): object => ({
  request: id,
  step: `${id}.0.0`,
  run,
  term,
  placed,
  stillWaiting: 0,
  jobAgeMs,
});

const createPermitFields = (allowed: number): object => ({
  step: `${id}.0.0`,
  asked: 10,
  allowed,
  through: 'host-2',
  durationMs: 31,
});

const explain = (...files: readonly (readonly string[])[]): string =>
  explainLog(parseLog(files.map((lines) => lines.join('\n'))), id).sentences.join('\n');

describe('explainLog', () => {
  // Guards against lines of several hosts that are explained out of order or belong to other requests.
  it('explains the lines of all hosts in order, and none of other requests', () => {
    const first = [
      formatLogLine(1000, 'host-1', 'jobSubmitted', submittedFields),
      formatLogLine(1500, 'host-1', 'jobSubmitted', { ...submittedFields, request: 'another' }),
      'this is not a log line',
      '{"cut": ',
    ];
    const second = [
      `12.5 host-2 ${formatLogLine(1040, 'host-2', 'permitsAnswered', createPermitFields(3))}`,
      formatLogLine(1900, 'host-2', 'tasksPlaced', createPlacementFields(1, 1, '0@w1 1@w2', 900)),
      formatLogLine(2500, 'host-2', 'jobFinished', {
        request: id,
        state: 'completed',
        revision: 7,
      }),
    ];
    const { lines, sentences } = explainLog(parseLog([second.join('\n'), first.join('\n')]), id);
    expect(lines.map(({ event }) => event)).to.deep.equal([
      'jobSubmitted',
      'permitsAnswered',
      'tasksPlaced',
      'jobFinished',
    ]);
    expect(sentences).to.have.length(5);
    expect(sentences[0]).to.include('Accepted by host-1');
    expect(sentences[2]).to.include('2 tasks started by host-2 (term 1), 900 ms after');
    expect(sentences[4]).to.include('860 ms, between permitsAnswered');
  });

  it('explains why a task ran again', () => {
    const stopFields = {
      request: id,
      task: `${id}.0.0.1`,
      run: 1,
      worker: 'w2',
      state: 'running',
      reason: 'stalled',
      outcome: 'confirmed',
    };
    const text = explain([
      formatLogLine(1000, 'host-1', 'tasksPlaced', createPlacementFields(1, 1, '0@w1 1@w2', 10)),
      formatLogLine(3000, 'host-1', 'taskStopped', stopFields),
      formatLogLine(3300, 'host-1', 'tasksPlaced', createPlacementFields(2, 1, '1@w3', 2300)),
      formatLogLine(3400, 'host-1', 'tasksPlaced', createPlacementFields(2, 1, '0@w3', 2400)),
    ]);
    expect(text).to.include(`${id}.0.0.1 runs again: run 1 was stopped on w2 (stalled, confirmed)`);
    expect(text).to.include(`${id}.0.0.0 runs again: the previous run failed, its lease expired`);
  });

  it('explains a refusal with the state of the host, and a change of the leader at that time', () => {
    const refusalFields = {
      request: id,
      reason: 'the store does not answer',
      configurationVersion: 4,
      configurationAgeMs: 3100,
      storeSilenceMs: 980,
      retryAfterSeconds: 1,
    };
    const text = explain([
      formatLogLine(1000, 'host-1', 'callRefused', refusalFields),
      formatLogLine(1800, 'host-2', 'leaderElected', { term: 3, revision: 90 }),
      formatLogLine(9000, 'host-3', 'leaderElected', { term: 4, revision: 95 }),
      formatLogLine(2200, 'host-2', 'permitsAnswered', createPermitFields(0)),
    ]);
    expect(text).to.include('Refused by host-1 (not run): the store does not answer');
    expect(text).to.include('the store last answered 980 ms earlier');
    expect(text).to.include('host-2 became leader in term 3');
    expect(text).not.to.include('term 4');
    expect(text).to.include('the advice service permits none of 10 workers');
  });
});
