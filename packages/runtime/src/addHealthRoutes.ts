import type { Protocol, Service } from 'restana';

/**
 * Adds the health endpoints: `/livez` answers while the loop runs, `/readyz` while new work is welcome.
 *
 * @param service - HTTP service
 * @param isReady - whether the process is ready
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
