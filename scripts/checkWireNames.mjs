// Fails if a name of the users' wire format is used outside platform/. Only that package decodes the wire format,
// and no other code may depend on it.
import { spawnSync } from 'node:child_process';

const wireNames = [
  'FencingToken',
  'AckedThrough',
  'WaitingCount',
  'RunningCount',
  'GangScheduled',
  'RackLocal',
  'AntiAffinity',
  'MayMiss',
  'ColdLeftMs',
  'EvacMs',
  'op/evacuate',
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
// packages-private is excluded because the simulated services of the test kit implement the wire protocol.
const pathspecs = [
  '*.ts',
  '*.json',
  ':!platform',
  ':!journal',
  ':!packages-private',
  ':!package-lock.json',
];
const { stdout } = spawnSync('git', ['grep', '-nwE', wireNames.join('|'), '--', ...pathspecs], {
  encoding: 'utf8',
});
if (stdout !== '') {
  console.error(`names of the users' wire format found outside platform/:\n${stdout}`);
  process.exit(1);
}
