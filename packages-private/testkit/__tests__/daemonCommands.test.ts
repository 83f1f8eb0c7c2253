import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { stringify } from 'smol-toml';
import { findProgram, runProgram } from '../src/index.js';

describe('the command lines of the daemons', () => {
  const folder = mkdtempSync(join(tmpdir(), 'toucanline-daemon-'));
  const file = join(folder, 'settings.toml');
  const settings = {
    environment: 'test',
    process: 'p1',
    dataCentre: 'dc1',
    platform: { store: 'http://127.0.0.1:1', hosts: 'http://127.0.0.1:1' },
  };
  after(() => {
    rmSync(folder, { recursive: true });
  });

  for (const role of ['entry', 'scheduler'] as const) {
    const name = `toucanline-${role}`;
    const run = (...args: readonly string[]): ReturnType<typeof runProgram> =>
      runProgram(findProgram(role, name), ...args);

    it(`of ${role} show version and help`, async () => {
      // Guards against a command that starts without its configuration, in which case both end with a stack trace.
      const version = await run('--version');
      expect(version).to.include({ code: 0, stderr: '' });
      expect(version.stdout).to.match(new RegExp(`^@toucanline/${role}/\\d`));
      const help = await run('--help');
      expect(help).to.include({ code: 0, stderr: '' });
      expect(help.stdout).to.include(`$ ${name} `).and.include('--settings');
    });

    it(`of ${role} exit with 2 and name file, key and value of invalid settings`, async () => {
      // Guards against a usage or settings error that ends with a stack trace and another exit code.
      writeFileSync(file, stringify({ ...settings, http: { host: '127.0.0.1', port: 'eighty' } }));
      const invalid = await run('--settings', file);
      expect(invalid).to.include({ code: 2, stdout: '' });
      for (const part of [file, 'http.port', 'found "eighty"', 'must be integer'])
        expect(invalid.stderr).to.include(part);
      const missing = await run('--settings', join(folder, 'absent.toml'));
      expect(missing.code).to.equal(2);
      expect(missing.stderr).to.include('absent.toml');
      const usage = await run();
      expect(usage.code).to.equal(2);
      expect(usage.stderr).to.include('settings');
      expect([invalid, missing, usage].map(({ stderr }) => stderr).join()).to.not.include(
        '    at ',
      );
    });
  }
});
