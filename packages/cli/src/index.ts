/**
 * Command line of toucanline for operators and callers.
 *
 * @packageDocumentation
 */
export { commandTable } from './commandTable.js';
