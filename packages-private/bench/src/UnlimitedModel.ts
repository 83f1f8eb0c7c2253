import { BaselineModel } from './BaselineModel.js';

/** Baseline scheduler without limits on what a team may use. */
export abstract class UnlimitedModel extends BaselineModel {
  /** {@inheritDoc BaselineModel.mayStart} */
  protected override mayStart(): boolean {
    return true;
  }

  /** {@inheritDoc BaselineModel.recordUse} */
  protected override recordUse(): void {
    // Use is not recorded because teams have no limits.
  }
}
