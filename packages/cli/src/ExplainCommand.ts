import { Args, Flags } from '@oclif/core';
import { BaseCommand } from './BaseCommand.js';
import { exitCodes } from './exitCodes.js';
import { explainLog } from './explainLog.js';
import { formatTable } from './formatTable.js';
import type { LogLine } from './LogLine.js';
import { parseLog } from './parseLog.js';
import { readTextFile } from './readTextFile.js';

const formatFields = ({ fields }: LogLine): string =>
  Object.entries(fields)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');

/** Command `toucanline explain`. */
export class ExplainCommand extends BaseCommand {
  public static override readonly summary =
    'Explain from the logs of the hosts what happened to a request.';

  public static override readonly examples = [
    'toucanline explain 0123456789abcdef --logs host-1.log host-2.log',
    'toucanline explain --logs host-*.log 0123456789abcdef',
  ];

  public static override readonly args = {
    request: Args.string({ description: 'ID of the job.' }),
  };

  public static override readonly flags = {
    logs: Flags.string({ summary: 'Log files of all hosts.', multiple: true, required: true }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<{
    readonly lines: readonly LogLine[];
    readonly sentences: readonly string[];
  }> {
    const { args, flags } = await this.parse(ExplainCommand);
    // `--logs` accepts any number of values, so a request ID after it is parsed as its last value.
    const request = args.request ?? flags.logs.at(-1) ?? '';
    const paths = args.request === undefined ? flags.logs.slice(0, -1) : flags.logs;
    const explanation = explainLog(
      parseLog(paths.map((path) => this.unwrapOrFail(readTextFile(path)))),
      request,
    );
    const { lines, sentences } = explanation;
    const [first] = lines;
    if (first === undefined) {
      return this.fail({
        message: `searched ${paths.length} log file(s) and found no line about request ${request}`,
        next: 'Pass the logs of all hosts to --logs. A call with an unknown key or queue (401, 404) is not logged.',
        exitCode: exitCodes.invalid,
      });
    }
    const rows = lines.map((line) => [
      String(line.timeMs - first.timeMs),
      line.process,
      line.event,
      formatFields(line),
    ]);
    this.log(formatTable([['AFTER MS', 'PROCESS', 'EVENT', 'FIELDS'], ...rows]));
    this.log('');
    for (const sentence of sentences) this.log(sentence);
    return explanation;
  }
}
