import { Args, Flags } from '@oclif/core';
import { validators, type RequestSpecification, type RequestView } from '@toucanline/schema';
import { RequestCommand } from './RequestCommand.js';

/** Time that a call may take in addition to its wait, in milliseconds. */
const transportMarginMs = 8000;

/** Command `toucanline submit`. */
export class SubmitCommand extends RequestCommand {
  public static override readonly summary = 'Submit a request and wait for it to complete.';

  public static override readonly examples = [
    'toucanline submit renders --processors 2 --memory-mb 2048 --command "echo hello"',
    'toucanline submit gangs --processors 8 --memory-mb 8192 --tasks 4 --wait 0',
  ];

  public static override readonly args = {
    queue: Args.string({ description: 'Name of the queue.', required: true }),
  };

  public static override readonly flags = {
    processors: Flags.string({ summary: 'Processors per task.', default: '1' }),
    'memory-mb': Flags.string({ summary: 'Memory per task in MB.', default: '512' }),
    accelerators: Flags.integer({ summary: 'Accelerators per task.', default: 0 }),
    'accelerator-type': Flags.string({ summary: 'Accelerator type that the tasks require.' }),
    tasks: Flags.integer({ summary: 'Number of tasks.', default: 1 }),
    command: Flags.string({ summary: 'Command that each task runs.', default: '' }),
    urgent: Flags.boolean({ summary: 'Start the request before other work of the team.' }),
    checkpointable: Flags.boolean({ summary: 'The tasks can be checkpointed.' }),
    detached: Flags.custom<NonNullable<RequestSpecification['detached']>>({
      summary: 'Keep the request when the caller stops waiting.',
      options: ['no', 'yes', 'prefer'] as const,
      default: 'no',
    })(),
    deadline: Flags.string({ summary: 'Deadline of the request in seconds.' }),
    wait: Flags.integer({ summary: 'Maximum wait in seconds.', default: 20, min: 0, max: 30 }),
    'idempotency-key': Flags.string({
      summary:
        'Makes a retry join the first request, and allows trying the next entry after a lost response.',
    }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<RequestView> {
    const { args, flags } = await this.parse(SubmitCommand);
    const key = flags['idempotency-key'];
    const acceleratorType = flags['accelerator-type'];
    const body: RequestSpecification = {
      size: {
        processors: Number(flags.processors),
        memoryMb: Number(flags['memory-mb']),
        accelerators: flags.accelerators,
      },
      tasks: flags.tasks,
      command: flags.command,
      detached: flags.detached,
      ...(flags.urgent ? { urgent: true } : {}),
      ...(flags.checkpointable ? { checkpointable: true } : {}),
      ...(flags.deadline === undefined ? {} : { deadlineSeconds: Number(flags.deadline) }),
      ...(acceleratorType === undefined ? {} : { acceleratorType }),
    };
    const view = this.unwrapOrFail(
      await this.openEnvironment(flags).client.send({
        method: 'POST',
        path: `/v1/queues/${encodeURIComponent(args.queue)}/requests?wait=${flags.wait}`,
        body,
        headers: key === undefined ? {} : { 'idempotency-key': key },
        timeoutMs: flags.wait * 1000 + transportMarginMs,
        isRepeatable: key !== undefined,
        validator: validators.RequestView,
      }),
    );
    return this.showRequest(view);
  }
}
