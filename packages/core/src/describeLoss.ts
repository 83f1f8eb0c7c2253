import type { DataCentreView, LostShard } from '@toucanline/schema';

const formatCount = (count: number, noun: string): string =>
  `${count} ${noun}${count === 1 ? '' : 's'}`;

const describeClaim = ({ shard, claimed, heardMs }: LostShard): string => {
  if (claimed) {
    return `Shard ${shard}: WARNING, an owner holds its claim in the store, so it is NOT cut off from the store.`;
  }
  const heard =
    heardMs === undefined
      ? 'never heard by this entry'
      : `silent for ${Math.round(heardMs / 1000)} s`;
  return `Shard ${shard}: no owner holds its claim in the store; ${heard}.`;
};

const describeWork = ({ work }: LostShard): readonly string[] => {
  const lines = work.map(({ queue, team, idempotent, requests, started }) => {
    const count = formatCount(requests, 'detached request');
    if (idempotent) {
      return `  Queue ${queue}, team ${team}: ${count} start again elsewhere. If the data centre is only cut off, they run twice.`;
    }
    const waiting = requests - started;
    return `  Queue ${queue}, team ${team}, not idempotent: ${started} may have started and are answered as outcome unknown, never run again; ${waiting} certainly did not start and pass to others.`;
  });
  return lines.length > 0 ? lines : ['  No open detached requests in its journal.'];
};

const describeAllotments = ({ allotments }: LostShard): readonly string[] => {
  const amounts = Object.entries(allotments).map(
    ([team, { processors, accelerators }]) =>
      `${team} ${processors.toFixed(1)} processors${accelerators > 0 ? ` and ${accelerators.toFixed(1)} accelerators` : ''}`,
  );
  if (amounts.length === 0) return ['  It holds no allotments of team limits.'];
  return [
    `  Freed for other data centres: ${amounts.join(', ')}. If the data centre is only cut off, these teams can exceed their limits by that much.`,
  ];
};

/**
 * Describes the consequences of declaring a data centre lost, for the confirmation by an operator.
 *
 * @param view - known state of the data centre
 * @returns lines of text
 */
export const describeLoss = (view: DataCentreView): readonly string[] => {
  const { dataCentre, shards, successors, declaration } = view;
  const declarationLines =
    declaration === undefined
      ? []
      : [`${declaration.author} declared it ${declaration.state} before (${dataCentre}).`];
  const successorLine =
    successors.length > 0
      ? `Its work passes to: ${successors.join(', ')}.`
      : 'No other data centre can be reached, so nobody could take its work over.';
  return [
    `Declaring ${dataCentre} lost says that none of its workers runs anything any more.`,
    'Nobody can check that from outside: a data centre that is cut off looks the same.',
    ...declarationLines,
    successorLine,
    ...shards.flatMap((shard) => [
      describeClaim(shard),
      ...describeWork(shard),
      ...describeAllotments(shard),
    ]),
    'Attached requests that entries elsewhere hold: idempotent ones start again, others are answered as',
    'outcome unknown. Attached requests of callers inside the data centre stay there.',
    `When ${dataCentre} returns, it stops what was taken over and keeps the rest.`,
  ];
};
