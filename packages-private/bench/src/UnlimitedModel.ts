import { BaselineModel } from './BaselineModel.js';

/** A baseline without limits for teams. */
export abstract class UnlimitedModel extends BaselineModel {
  /** {@inheritDoc BaselineModel.mayStart} */
  protected override mayStart(): boolean {
    return true;
  }

  /** {@inheritDoc BaselineModel.noteUse} */
  protected override noteUse(): void {
    // Without limits nothing is counted.
  }
}
