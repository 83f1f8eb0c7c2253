import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { expect } from 'chai';
import { Metrics } from '../src/index.js';

const settings = {
  process: 'p',
  environment: 'e',
  dataCentre: 'dc1',
  platform: { store: '', hosts: '' },
  http: { host: '127.0.0.1', port: 0 },
} as const;
const event = {
  name: 'requestFinished',
  process: 'p',
  dataCentre: 'dc1',
  stamp: { wallMs: 1, counter: 0 },
  durationMs: 12,
} as const;

describe('the metrics of a process', () => {
  let server: Socket;
  beforeEach(async () => {
    server = createSocket('udp4').bind(0, '127.0.0.1');
    await once(server, 'listening');
  });
  afterEach(() => {
    server.close();
  });

  // Guards against metrics that are dropped although the settings name a server.
  it('are sent to the server with the count and the duration of an event', async () => {
    const metrics = new Metrics({
      ...settings,
      statsd: { host: '127.0.0.1', port: server.address().port },
    });
    const received: string[] = [];
    server.on('message', (message) => received.push(message.toString()));
    metrics.countEvent(event);
    while (received.length < 2) await once(server, 'message');
    metrics.close();
    expect(received.map((text) => text.split('|')[0]).sort()).to.deep.equal([
      'toucanline.durations.requestFinished:12',
      'toucanline.events.requestFinished:1',
    ]);
  });

  // Guards against a process without a metrics server that fails on its first event.
  it('are dropped if the settings name no server', () => {
    const metrics = new Metrics(settings);
    expect(() => {
      metrics.countEvent(event);
      metrics.setGauge('waiting', 1);
      metrics.close();
    }).not.to.throw();
  });
});
