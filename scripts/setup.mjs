// Installs the locked dependencies if they are missing or older than package-lock.json, then builds all packages.
import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';

const run = (command, args) => {
  const { status } = spawnSync(command, args, { stdio: 'inherit' });
  if (status !== 0) process.exit(status ?? 1);
};

const installedLockfile = 'node_modules/.package-lock.json';
const isOutdated =
  !existsSync(installedLockfile) ||
  statSync(installedLockfile).mtimeMs < statSync('package-lock.json').mtimeMs;
if (isOutdated) run('npm', ['ci', '--no-audit', '--no-fund']);
run(process.execPath, ['node_modules/typescript/bin/tsc', '-b']);
