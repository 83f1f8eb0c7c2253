import { writeFileSync } from 'node:fs';
import { stringify } from 'smol-toml';
import { exampleDocument } from '../exampleDocument.js';
import { Site } from '../Site.js';

const settingsFile = 'ops.toml';
const documentFile = 'site.toml';

const createSite = (production: boolean): Site =>
  new Site({
    document: exampleDocument,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 2,
    workersPerDataCentre: 3,
    teams: ['planning', 'broadcast'],
    production,
  });

const trial = createSite(false);
const production = createSite(true);
const sites = { trial, production };
await Promise.all([trial.start(), production.start()]);
const environments = Object.fromEntries(
  Object.entries(sites).map(([name, site]) => [
    name,
    {
      entries: site.entries.map(({ url }) => url),
      key: site.operatorHeaders.authorization?.replace('Bearer ', '') ?? '',
    },
  ]),
);
writeFileSync(settingsFile, stringify({ trial: 'trial', production: 'production', environments }));
writeFileSync(documentFile, exampleDocument);
process.stdout.write(
  [
    'Two environments run on loopback until you press Ctrl-C: trial and production.',
    `Settings of the command line: ${settingsFile}. Document in effect: ${documentFile}.`,
    `Entry of production: ${production.entries[0]?.url ?? ''}, key of team planning: key-planning`,
    'In a second terminal:',
    '  alias toucanline="node packages/cli/dist/src/bin/toucanline.js"',
    `  export TOUCANLINE_SETTINGS=${settingsFile} TOUCANLINE_ENVIRONMENT=production`,
    `  export URL=${production.entries[0]?.url ?? ''} KEY=key-planning`,
    '  toucanline config status',
    '',
  ].join('\n'),
);
const stop = async (): Promise<void> => {
  await Promise.all([trial.stop(), production.stop()]);
  process.exit(0);
};
process.on('SIGINT', () => void stop());
process.on('SIGTERM', () => void stop());
