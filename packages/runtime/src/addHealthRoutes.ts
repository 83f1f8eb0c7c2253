import type { Protocol, Service } from 'restana';

/**
 * Adds the health endpoints: `/livez` responds while the event loop runs; `/readyz` responds with 200 while the process
 * accepts new work, otherwise with 503.
 *
 * @param service - HTTP service
 * @param isReady - returns whether the process accepts new work
 */
export const addHealthRoutes = (service: Service<Protocol.HTTP>, isReady: () => boolean): void => {
  service.get('/livez', (_request, response) => {
    response.send({ live: true }, 200);
  });
  service.get('/readyz', (_request, response) => {
    const ready = isReady();
    response.send({ ready }, ready ? 200 : 503);
  });
};
