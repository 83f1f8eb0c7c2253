/**
 * Types and validators generated from the JSON Schemas in `schemas/`.
 *
 * @packageDocumentation
 */
export type * from '#types';
export * as validators from '#validators';
export type { Validator } from '#validators';
export { Document as documentChecker } from '#documentChecker';
export { definitions } from '#definitions';
