import { randomBytes } from 'node:crypto';
import { RandomSource } from '@toucanline/core';

const tokenBytes = 12;

/** Random source of the host. */
export class SystemRandom extends RandomSource {
  /** {@inheritDoc RandomSource.next} */
  public override next(): number {
    return Math.random();
  }

  /** {@inheritDoc RandomSource.token} */
  public override token(): string {
    return randomBytes(tokenBytes).toString('hex');
  }
}
