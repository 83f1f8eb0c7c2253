import type { ConfigurationRoutes } from './ConfigurationRoutes.js';
import type { DataCentreRoutes } from './DataCentreRoutes.js';
import type { KeyRoutes } from './KeyRoutes.js';
import type { OperatorRoutes } from './OperatorRoutes.js';
import type { RequestRoutes } from './RequestRoutes.js';
import type { Route } from './Route.js';

/** Objects that handle the routes, by area. */
interface RouteGroups {
  readonly requests: RequestRoutes;
  readonly operators: OperatorRoutes;
  readonly configuration: ConfigurationRoutes;
  readonly keys: KeyRoutes;
  readonly dataCentres: DataCentreRoutes;
}

const waitParameter = { wait: 'Longest wait for the answer in seconds, 0 to 30.' };

const createRequestRoutes = ({ requests }: RouteGroups): readonly Route[] => [
  {
    method: 'post',
    path: '/v1/queues/{queue}/requests',
    summary: 'Submits a request and waits for its answer.',
    query: waitParameter,
    headers: { 'Idempotency-Key': 'A repeat with the same key and body joins the first request.' },
    body: 'RequestSpecification',
    responses: { 200: 'RequestView', 202: 'RequestView' },
    handle: (context) => requests.submit(context),
  },
  {
    method: 'get',
    path: '/v1/requests/{id}',
    summary: 'Reads a request, or waits for its answer.',
    query: waitParameter,
    responses: { 200: 'RequestView', 202: 'RequestView' },
    handle: (context) => requests.wait(context),
  },
  {
    method: 'delete',
    path: '/v1/requests/{id}',
    summary: 'Cancels a request.',
    responses: { 200: 'RequestView', 202: 'RequestView' },
    handle: (context) => requests.cancel(context),
  },
];

const createConfigurationRoutes = ({ configuration, keys }: RouteGroups): readonly Route[] => [
  {
    method: 'get',
    path: '/v1/configuration',
    summary: 'Reads the newest revision of the configuration. Role: read.',
    responses: { 200: 'Configuration' },
    handle: (context) => configuration.read(context),
  },
  {
    method: 'put',
    path: '/v1/configuration',
    summary: 'Changes the configuration. Role: change; promote in production.',
    body: 'ConfigurationChange',
    responses: { 200: 'ConfigurationSummary' },
    handle: (context) => configuration.change(context),
  },
  {
    method: 'get',
    path: '/v1/configuration/history',
    summary: 'Lists all revisions, newest first. Role: read.',
    responses: { 200: 'ConfigurationHistory' },
    handle: (context) => configuration.readHistory(context),
  },
  {
    method: 'get',
    path: '/v1/configuration/{revision}',
    summary: 'Reads one revision. Role: read.',
    responses: { 200: 'Configuration' },
    handle: (context) => configuration.readRevision(context),
  },
  {
    method: 'get',
    path: '/v1/keys',
    summary: 'Lists the API keys without their hashes. Role: read.',
    responses: { 200: 'KeyViews' },
    handle: (context) => keys.list(context),
  },
  {
    method: 'post',
    path: '/v1/keys',
    summary: 'Grants a key, of which only the hash is sent. Role: change.',
    body: 'KeyGrant',
    responses: { 200: 'KeyView' },
    handle: (context) => keys.grant(context),
  },
  {
    method: 'delete',
    path: '/v1/keys/{id}',
    summary: 'Withdraws a key. Role: change.',
    responses: { 200: 'KeyView' },
    handle: (context) => keys.withdraw(context),
  },
];

const createSiteRoutes = ({ operators }: RouteGroups): readonly Route[] => [
  {
    method: 'get',
    path: '/v1/status',
    summary: 'Reads the status of all processes that this entry reaches. Role: read.',
    responses: { 200: 'SiteStatus' },
    handle: (context) => operators.readStatus(context),
  },
  {
    method: 'get',
    path: '/v1/events',
    summary: 'Reads the events of this entry and of all schedulers. Role: read.',
    query: {
      since: 'Wall time of the oldest event in milliseconds since the Unix epoch.',
      request: 'Restricts the events to one request.',
    },
    responses: { 200: 'EventList' },
    handle: (context) => operators.readEvents(context),
  },
  {
    method: 'post',
    path: '/v1/workers/{worker}/drain',
    summary: 'Lets a worker take no new work. Role: change.',
    responses: { 200: 'DrainState' },
    handle: (context) => operators.drain(context, true),
  },
  {
    method: 'delete',
    path: '/v1/workers/{worker}/drain',
    summary: 'Lets a drained worker take work again. Role: change.',
    responses: { 200: 'DrainState' },
    handle: (context) => operators.drain(context, false),
  },
];

const createDataCentreRoutes = ({ dataCentres }: RouteGroups): readonly Route[] => [
  {
    method: 'get',
    path: '/v1/datacentres/{name}',
    summary: 'Reads what a data centre holds and what an operator said about it. Role: read.',
    responses: { 200: 'DataCentreView' },
    handle: (context) => dataCentres.read(context),
  },
  {
    method: 'put',
    path: '/v1/datacentres/{name}',
    summary: 'Declares a data centre lost or returned. Role: change; promote in production.',
    body: 'DataCentreChange',
    responses: { 200: 'DataCentreView' },
    handle: (context) => dataCentres.declare(context),
  },
];

/**
 * Creates the table of the routes under `/v1`.
 *
 * @param groups - objects that handle the routes
 * @returns the routes of all groups
 */
export const createRoutes = (groups: RouteGroups): readonly Route[] => [
  ...createRequestRoutes(groups),
  ...createConfigurationRoutes(groups),
  ...createSiteRoutes(groups),
  ...createDataCentreRoutes(groups),
];
