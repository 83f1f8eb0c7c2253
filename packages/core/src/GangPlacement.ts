import { BatchPlacement } from './BatchPlacement.js';

/**
 * Places the tasks of a gang tightly. The dispatcher starts them only if all were placed; the number
 * that was placed tells how much is missing.
 */
export class GangPlacement extends BatchPlacement {}
