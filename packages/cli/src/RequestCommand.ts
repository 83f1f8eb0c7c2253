import type { RequestView } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { exitCodes } from './exitCodes.js';

const failedStates: ReadonlySet<RequestView['state']> = new Set(['failed', 'refused', 'unknown']);

/** A command that answers with the state of a request. Exit code 6 if the request failed. */
export abstract class RequestCommand extends BaseCommand {
  /**
   * Shows the state of a request.
   *
   * @param view - the state
   * @returns the state
   */
  protected showRequest(view: RequestView): RequestView {
    this.log(`Request ${view.id}: ${view.state}, ran: ${view.ran}`);
    if (view.reason !== undefined) this.log(view.reason);
    if (view.failure !== undefined) this.log(`${view.failure.kind}: ${view.failure.detail}`);
    for (const { id, worker, dataCentre, state } of view.tasks) {
      this.log(`  ${id} ${state} on ${worker} in ${dataCentre}`);
    }
    for (const output of view.output ?? []) this.log(output);
    if (failedStates.has(view.state)) process.exitCode = exitCodes.notSucceeded;
    return view;
  }
}
