/**
 * The command line of toucanline.
 *
 * @packageDocumentation
 */
export { commandTable } from './commandTable.js';
