import { BatchPlacement } from './BatchPlacement.js';

/** Places all tasks of a gang at the same time, packed tightly, or none. */
export class GangPlacement extends BatchPlacement {}
