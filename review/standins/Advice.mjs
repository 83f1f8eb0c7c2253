import http from 'node:http';
import { platformIp } from './address.mjs';

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
};

/**
 * Stand-in of the advice service. It handles one call at a time for each calling machine, in turn, and returns 429 when
 * 32 calls are waiting. Each machine has an address of its own here, by which the service knows it.
 */
export class Advice {
  #servers = [];
  #tickets = new Map();
  #nextTicket = 1;
  log = () => undefined;
  /** Returns DecideMs, PerItemMs and ValidMs for a step. */
  findTerms = () => ({ DecideMs: 10, PerItemMs: 1, ValidMs: 2000 });

  /** Opens the address for one machine. */
  async open(machine, host = platformIp) {
    let waiting = 0;
    let last = Promise.resolve();
    const server = http.createServer((request, response) => {
      void (async () => {
        const { Step, Workers } = await readBody(request);
        const answer = (status, body) => {
          response.writeHead(status, { 'content-type': 'application/json' });
          response.end(JSON.stringify(body));
        };
        if (waiting >= 32) {
          answer(429, {});
          return;
        }
        waiting += 1;
        const { DecideMs, PerItemMs, ValidMs } = this.findTerms(Step);
        last = last.then(() => sleep(DecideMs + PerItemMs * Workers.length));
        await last;
        waiting -= 1;
        this.log(`advice for ${machine}: ${Step} on ${Workers.length} runners`);
        const Good = Workers.map((id) => {
          const ticket = `t${this.#nextTicket}`;
          this.#nextTicket += 1;
          this.#tickets.set(ticket, { Step, id, endsAt: performance.now() + ValidMs });
          return [id, ticket];
        });
        answer(200, { Good });
      })().catch(() => response.destroy());
    });
    await new Promise((resolve) => server.listen(0, host, resolve));
    this.#servers.push(server);
    return `${host}:${server.address().port}`;
  }

  /** Checks the ticket of a start, as a runner does. */
  isValid(ticket, runner, task) {
    const known = this.#tickets.get(ticket);
    const step = task.split('.').slice(0, 3).join('.');
    return known?.id === runner && known.Step === step && known.endsAt > performance.now();
  }

  stop() {
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }
}
