/**
 * The entry daemon of toucanline.
 *
 * @packageDocumentation
 */
export { EntryCommand } from './EntryCommand.js';
export { EntryDaemon } from './EntryDaemon.js';
