import type { RequestView } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { exitCodes } from './exitCodes.js';

const failedStates: ReadonlySet<RequestView['state']> = new Set(['failed', 'refused', 'unknown']);

/** Base of the commands that show a request. Exits with 6 if the request failed, was refused or is unknown. */
export abstract class RequestCommand extends BaseCommand {
  /**
   * Prints the state, tasks and output of a request, and sets the exit code.
   *
   * @param view - state of the request
   * @returns the same state, for the output with `--json`
   */
  protected showRequest(view: RequestView): RequestView {
    this.log(`Request ${view.id} is ${view.state}; ran: ${view.ran}`);
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
