import { validators } from '@toucanline/schema';
import { expect } from 'chai';
import { validateValue } from '../src/index.js';

describe('validation of a value from outside the process', () => {
  // Guards against an error that is thrown while the failure is described, and that ends the handling of a message.
  it('fails for a deeply nested value', () => {
    const nesting = 100_000;
    const nested: unknown = JSON.parse('['.repeat(nesting) + ']'.repeat(nesting));
    const { detail } = validateValue(validators.StoreValue, { key: nested })._unsafeUnwrapErr();
    expect(detail).to.contain('a deeply nested value');
  });

  it('names the key, the found value and what is allowed', () => {
    const { detail } = validateValue(validators.StoreLease, {
      lease: 5,
      ttlMs: 1,
    })._unsafeUnwrapErr();
    expect(detail).to.equal('lease: found 5; must be string');
  });
});
