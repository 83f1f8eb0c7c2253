import { ClaimKeeper, type Policy, type WorkerGateway } from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';
import { ShardHost } from './ShardHost.js';

const pollMs = 1000;

/** Candidate for the ownership of one shard: claims it whenever nobody else does. */
export class ShardCandidate {
  readonly #runtime: ProcessRuntime;
  readonly #gateway: WorkerGateway;
  readonly #keeper: ClaimKeeper;
  readonly #readPolicy: () => Policy | undefined;
  #host: ShardHost | undefined;
  #wanted = true;

  /**
   * @param runtime - the process
   * @param gateway - access to the workers
   * @param shard - name of the shard
   * @param address - link address of this process
   * @param readPolicy - reads the policy in effect
   */
  public constructor(
    runtime: ProcessRuntime,
    gateway: WorkerGateway,
    shard: string,
    address: string,
    readPolicy: () => Policy | undefined,
  ) {
    this.#runtime = runtime;
    this.#gateway = gateway;
    this.#readPolicy = readPolicy;
    this.#keeper = new ClaimKeeper(runtime, shard, runtime.settings.process, address);
  }

  /** The running ownership, if this process owns the shard. */
  public get host(): ShardHost | undefined {
    return this.#host;
  }

  /** Claims the shard again and again until the candidate is stopped. */
  public async run(): Promise<void> {
    const { clock, random } = this.#runtime;
    while (this.#wanted) {
      const policy = this.#readPolicy();
      const claim = policy === undefined ? undefined : await this.#keeper.acquire();
      if (policy !== undefined && claim?.isOk() === true) {
        const host = new ShardHost(this.#runtime, this.#gateway, claim.value, policy, (detail) => {
          void this.#giveUp(detail);
        });
        void this.#serve(host);
        await this.#keeper.keep(() => this.#wanted);
        this.#endHost();
      } else await clock.sleep(pollMs * (0.5 + random.next() / 2));
    }
  }

  /** Gives the shard up, so that a peer may claim it at once. */
  public async stop(): Promise<void> {
    this.#wanted = false;
    this.#endHost();
    await this.#keeper.release();
  }

  async #serve(host: ShardHost): Promise<void> {
    host.applyKeys(this.#runtime.keyRing);
    this.#host = host;
    await host.start();
  }

  async #giveUp(detail: string): Promise<void> {
    const { recorder } = this.#runtime;
    recorder.record('claimLost', { shard: this.#host?.shard.name ?? '', detail });
    this.#endHost();
    await this.#keeper.release();
  }

  #endHost(): void {
    this.#host?.stop();
    this.#host = undefined;
  }
}
