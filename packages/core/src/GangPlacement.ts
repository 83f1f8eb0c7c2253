import { BatchPlacement } from './BatchPlacement.js';

/**
 * Packs the tasks of a gang. The dispatcher starts them only if all of them were placed; the number
 * of placed tasks shows how many do not fit.
 */
export class GangPlacement extends BatchPlacement {}
