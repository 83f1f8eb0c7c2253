import { definitions } from '@toucanline/schema';
import type { Route } from './Route.js';

const jsonType = 'application/json';
const localPrefix = '#/$defs/';
const componentPrefix = '#/components/schemas/';

/** Collects the name of a definition and of all definitions that it refers to, directly or indirectly. */
const collectDefinitionNames = (name: string, names: Set<string>): void => {
  if (names.has(name)) return;
  names.add(name);
  const text = JSON.stringify(definitions[name]);
  for (const [, inner = ''] of text.matchAll(/#\/\$defs\/(\w+)/g))
    collectDefinitionNames(inner, names);
};

const createReference = (name: string): object => ({ $ref: `${componentPrefix}${name}` });

const describeContent = (type: string, name: string): object => ({
  content: { [type]: { schema: createReference(name) } },
});

const describeParameters = ({ path, query, headers }: Route): readonly object[] => {
  const schema = { type: 'string' };
  const describe =
    (location: 'query' | 'header') =>
    ([name, description]: readonly [string, string]): object => ({
      name,
      in: location,
      description,
      schema,
    });
  return [
    ...[...path.matchAll(/\{(\w+)\}/g)].map(([, name]) => ({
      name,
      in: 'path',
      required: true,
      schema,
    })),
    ...Object.entries(query ?? {}).map(describe('query')),
    ...Object.entries(headers ?? {}).map(describe('header')),
  ];
};

const describeOperation = (route: Route): object => {
  const { summary, body, responses } = route;
  return {
    summary,
    parameters: describeParameters(route),
    ...(body === undefined
      ? {}
      : { requestBody: { required: true, ...describeContent(jsonType, body) } }),
    responses: {
      ...Object.fromEntries(
        Object.entries(responses).map(([status, name]) => [
          status,
          { description: name, ...describeContent(jsonType, name) },
        ]),
      ),
      default: {
        description: 'The kind of the failure and whether the request ran.',
        ...describeContent('application/problem+json', 'Problem'),
      },
    },
  };
};

const unversionedPaths = {
  '/livez': { get: { summary: 'Answers while the process runs.' } },
  '/readyz': { get: { summary: 'Answers 200 while new work is welcome, 503 otherwise.' } },
  '/openapi.json': { get: { summary: 'This document.' } },
};

const describeUnversionedPaths = (): object =>
  Object.fromEntries(
    Object.entries(unversionedPaths).map(([path, { get }]) => [
      path,
      { get: { ...get, responses: { 200: { description: 'A JSON object.' } } } },
    ]),
  );

/**
 * Creates the OpenAPI document of the entry from its routes and the schemas.
 *
 * @param routes - the routes
 * @returns the OpenAPI 3.1 document
 */
export const createOpenApi = (routes: readonly Route[]): object => {
  const names = new Set<string>();
  collectDefinitionNames('Problem', names);
  const paths: Record<string, Record<string, object>> = {};
  for (const route of routes) {
    const { method, path, body, responses } = route;
    for (const name of Object.values(responses)) collectDefinitionNames(name, names);
    if (body !== undefined) collectDefinitionNames(body, names);
    paths[path] = { ...paths[path], [method]: describeOperation(route) };
  }
  const schemas = Object.fromEntries([...names].sort().map((name) => [name, definitions[name]]));
  return {
    openapi: '3.1.0',
    info: { title: 'toucanline entry', version: '1' },
    security: [{ key: [] }, {}],
    paths: { ...paths, ...describeUnversionedPaths() },
    components: {
      securitySchemes: { key: { type: 'http', scheme: 'bearer' } },
      schemas: JSON.parse(
        JSON.stringify(schemas).replaceAll(localPrefix, componentPrefix),
      ) as object,
    },
  };
};
