import { createServer, type Server } from 'node:http';
import { Socket } from 'node:net';
import type { RefusalReason } from '@toucanline/schema';
import { TurnQueue, type LinkRefusal } from '@toucanline/wire';
import type { ConnectionBudgets } from './ConnectionBudgets.js';
import { GuardedConnection } from './GuardedConnection.js';
import type { PortContext } from './PortContext.js';
import type { RefusalReporter } from './RefusalReporter.js';
import { ResourceLedger } from './ResourceLedger.js';

/** Interval at which times of requests and responses are checked, in milliseconds. */
const checkIntervalMs = 1000;
/** Connections that are accepted above the budget while older ones are being closed. */
const acceptMargin = 64;

/** Refusals by the error codes of the HTTP parser of Node.js, with the status line of the response. */
const parserErrors: Readonly<Record<string, readonly [RefusalReason, string]>> = {
  ERR_HTTP_REQUEST_TIMEOUT: ['requestTime', '408 Request Timeout'],
  HPE_HEADER_OVERFLOW: ['headTooLarge', '431 Request Header Fields Too Large'],
  HPE_CHUNK_EXTENSIONS_OVERFLOW: ['headTooLarge', '413 Payload Too Large'],
};

/** Creates HTTP servers whose connections stay within the budgets of the process. */
export class ConnectionGuard {
  public readonly budgets: ConnectionBudgets;
  /** Shares the time of the event loop between the connections of all ports, links included. */
  public readonly turns = new TurnQueue();
  readonly #reporter: RefusalReporter;

  /**
   * @param budgets - budgets of the process
   * @param reporter - counts and logs refusals
   */
  public constructor(budgets: ConnectionBudgets, reporter: RefusalReporter) {
    this.budgets = budgets;
    this.#reporter = reporter;
  }

  /**
   * Creates the server of a port.
   *
   * @param name - name of the port, for logs and metrics
   * @param kind - `callers`, or `service` for health, readiness and metrics
   * @returns the server, not listening
   */
  public createServer(name: string, kind: 'callers' | 'service'): Server {
    const { budgets } = this;
    const isService = kind === 'service';
    const maxConnections = isService ? budgets.maxServiceConnections : budgets.maxCallerConnections;
    const port: PortContext = {
      budgets,
      connections: new ResourceLedger(maxConnections, 'connections'),
      bytes: new ResourceLedger(
        isService ? budgets.maxServiceBytes : budgets.maxCallerBytes,
        'receivedBytes',
      ),
      turns: this.turns,
      report: (reason) => {
        this.#reporter.report(name, reason);
      },
    };
    const server = createServer({
      headersTimeout: budgets.requestMs,
      requestTimeout: budgets.requestMs,
      connectionsCheckingInterval: checkIntervalMs,
    });
    server.maxConnections = maxConnections + acceptMargin;
    this.#watch(server, port);
    return server;
  }

  /**
   * Reports a refused or closed link.
   *
   * @param reason - reason for the refusal
   */
  public reportLink(reason: LinkRefusal): void {
    this.#reporter.report('links', reason);
  }

  #watch(server: Server, port: PortContext): void {
    server.on('connection', (socket: Socket) => {
      this.#accept(socket, port);
    });
    server.on('request', (request, response) => {
      GuardedConnection.find(request.socket)?.addRequest(request, response);
    });
    server.on('drop', () => {
      port.report('connections');
    });
    // Without a listener, an error such as EMFILE at accept ends the process.
    server.on('error', () => {
      if (server.listening) port.report('acceptFailed');
    });
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (socket instanceof Socket) this.#rejectRequest(error, socket, port);
    });
    const timer = setInterval(() => {
      for (const connection of port.connections.connections) connection.checkResponseTime();
    }, checkIntervalMs);
    timer.unref();
    server.on('close', () => {
      clearInterval(timer);
    });
  }

  #accept(socket: Socket, port: PortContext): void {
    // The listeners are those of the HTTP parser, which then gets all bytes from the guarded connection.
    const parsers = socket.listeners('data');
    socket.removeAllListeners('data');
    const parse = (bytes: Buffer): void => {
      for (const parser of parsers) Reflect.apply(parser, socket, [bytes]);
    };
    const connection = new GuardedConnection(socket, parse, port);
    if (!port.connections.reserve(connection, 1)) connection.refuse('connections');
  }

  /** Answers what the parser rejects as Node.js does by default, and closes the connection. */
  #rejectRequest(error: NodeJS.ErrnoException, socket: Socket, port: PortContext): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const [reason, status] = parserErrors[error.code ?? ''] ?? [
      'malformedRequest',
      '400 Bad Request',
    ];
    port.report(reason);
    // While a response is pending, another status line would be taken for a part of it.
    const isWaiting = GuardedConnection.find(socket)?.evictionRank === undefined;
    if (!isWaiting) socket.write(`HTTP/1.1 ${status}\r\nconnection: close\r\n\r\n`);
    socket.destroy();
  }
}
