/**
 * HTTP clients for the platform: store, host list and workers.
 *
 * @packageDocumentation
 */
export { HttpClient } from './HttpClient.js';
export { HttpHostList } from './HttpHostList.js';
export type { HttpResponse } from './HttpResponse.js';
export { HttpStore } from './HttpStore.js';
export { HttpWorkerGateway } from './HttpWorkerGateway.js';
