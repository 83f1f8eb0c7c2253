/**
 * Formats the name of a worker incarnation.
 *
 * @param id - id of the worker
 * @param life - Unix time of its start, in milliseconds
 * @returns name that no other incarnation has
 */
export const formatIncarnation = (id: string, life: number): string => `${id}/${life}`;
