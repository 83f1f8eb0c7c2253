/**
 * Links between the processes of toucanline: length-prefixed CBOR frames over TCP.
 *
 * @packageDocumentation
 */
export { encodeFrame } from './encodeFrame.js';
export { frameLimits } from './frameLimits.js';
export { FrameReader } from './FrameReader.js';
export { Link } from './Link.js';
export type { LinkBudgets } from './LinkBudgets.js';
export { LinkDialer } from './LinkDialer.js';
export { LinkHandler } from './LinkHandler.js';
export { LinkListener } from './LinkListener.js';
export type { LinkRefusal } from './LinkRefusal.js';
export { TurnQueue } from './TurnQueue.js';
export { TurnTask } from './TurnTask.js';
