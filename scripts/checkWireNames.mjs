// Fails when a name of the users' wire stands outside the adapter: nothing else may depend on it.
import { spawnSync } from 'node:child_process';

const names = [
  'FencingToken',
  'AckedThrough',
  'WaitingCount',
  'RunningCount',
  'GangScheduled',
  'RackLocal',
  'AntiAffinity',
  'MayMiss',
  'ColdLeftMs',
  'EnforcesCapacity',
  'RemainingMs',
  'ExpectedRev',
  'SetKeys',
  'Tombstone',
  'TtlMs',
  'AsOf',
  'RepeatCount',
  'kv-txn',
  'kv-watch',
  'kv-range',
  'run-start',
  'run-stop',
  'machine-move',
  'machine-upkeep',
  'X-Target-Instance',
  'X-Fencing-Token',
];
// The stand-ins of the test kit speak the wire's protocol themselves.
const paths = [
  '*.ts',
  '*.json',
  ':!platform',
  ':!journal',
  ':!packages-private',
  ':!package-lock.json',
];
const { stdout } = spawnSync('git', ['grep', '-nwE', names.join('|'), '--', ...paths], {
  encoding: 'utf8',
});
if (stdout !== '') {
  console.error(`names of the users' wire outside platform/:\n${stdout}`);
  process.exit(1);
}
