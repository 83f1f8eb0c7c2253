/**
 * Measurements of the decision core.
 *
 * @packageDocumentation
 */
export { measureOverload } from './measureOverload.js';
export { measureShares } from './measureShares.js';
