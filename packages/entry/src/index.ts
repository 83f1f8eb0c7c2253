/**
 * The entry daemon of toucanline: the HTTP front end for callers and operators.
 *
 * @packageDocumentation
 */
export { EntryCommand } from './EntryCommand.js';
export { EntryDaemon } from './EntryDaemon.js';
