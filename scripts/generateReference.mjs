// Generates the pages in docs/reference from the schemas and the error table. Requires a build of packages/core,
// from which the error table is imported.
// With `--check`, writes nothing and exits with 1 if a committed page is out of date.
import { mkdirSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import prettier from 'prettier';
import { errorTable } from '../packages/core/dist/src/errorTable.js';

const root = join(import.meta.dirname, '..');
const schemaFolder = join(root, 'packages', 'schema', 'schemas');
const outputFolder = join(root, 'docs', 'reference');

const definitions = Object.assign(
  {},
  ...readdirSync(schemaFolder).map(
    (file) => JSON.parse(readFileSync(join(schemaFolder, file), 'utf8')).$defs,
  ),
);

const definitionName = (ref) => ref.replace('#/$defs/', '');
const escapeCell = (text) => text.replaceAll('|', '\\|');

const describeBounds = (schema) => {
  const bounds = [];
  if (schema.minimum !== undefined) bounds.push(`at least ${schema.minimum}`);
  if (schema.exclusiveMinimum !== undefined) bounds.push(`above ${schema.exclusiveMinimum}`);
  if (schema.maximum !== undefined) bounds.push(`at most ${schema.maximum}`);
  if (schema.minItems !== undefined) bounds.push(`at least ${schema.minItems} items`);
  if (schema.minLength !== undefined) bounds.push(`at least ${schema.minLength} characters`);
  if (schema.maxLength !== undefined) bounds.push(`at most ${schema.maxLength} characters`);
  if (schema.pattern !== undefined) bounds.push(`matches \`${schema.pattern}\``);
  return bounds.length === 0 ? '' : `, ${bounds.join(', ')}`;
};

const describeType = (schema) => {
  if (schema.$ref !== undefined) {
    const target = definitions[definitionName(schema.$ref)];
    if (target.type === 'object')
      return `[${definitionName(schema.$ref)}](#${definitionName(schema.$ref).toLowerCase()})`;
    return describeType(target);
  }
  if (schema.const !== undefined) return `\`${JSON.stringify(schema.const)}\``;
  if (schema.enum !== undefined) return schema.enum.map((value) => `\`${value}\``).join(', ');
  if (schema.type === 'array')
    return `list of ${describeType(schema.items)}${describeBounds(schema)}`;
  if (schema.type === 'object' && typeof schema.additionalProperties === 'object') {
    return `table of ${describeType(schema.additionalProperties)}, by name`;
  }
  return `${schema.type}${describeBounds(schema)}`;
};

// Returns the names of all definitions that the schema references.
const listReferences = (schema) =>
  [...JSON.stringify(schema).matchAll(/#\/\$defs\/(\w+)/g)].map(([, name]) => name);

const renderSection = (name) => {
  const { description, properties, required = [] } = definitions[name];
  const rows = Object.entries(properties).map(([key, schema]) =>
    [
      `\`${key}\``,
      required.includes(key) ? 'yes' : 'no',
      escapeCell(describeType(schema)),
      escapeCell(schema.description ?? ''),
    ].join(' | '),
  );
  return `## ${name}\n\n${description ?? ''}\n\n| Key | Required | Allowed | Meaning |\n| --- | --- | --- | --- |\n${rows.map((row) => `| ${row} |`).join('\n')}\n`;
};

// Renders the given definitions and all object types that they reference, directly or indirectly.
const renderObject = (title, intro, rootNames) => {
  const names = [...rootNames];
  for (let index = 0; index < names.length; index += 1) {
    for (const name of listReferences(definitions[names[index]])) {
      if (definitions[name].type === 'object' && !names.includes(name)) names.push(name);
    }
  }
  return `# ${title}\n\n${intro}\n\n${names.map(renderSection).join('\n')}`;
};

const renderErrors = () => {
  const rows = Object.entries(errorTable).map(
    ([kind, { status, ran, retry, meaning }]) =>
      `| \`${kind}\` | ${status} | ${ran} | ${retry ? 'yes' : 'no'} | ${escapeCell(meaning)} |`,
  );
  const intro =
    'Every failure is returned as a problem document (RFC 9457) with the error kind in `title`. `ran` ' +
    'states whether the request ran; it is `no` only if that is proved. `retry` states whether the same ' +
    'request may succeed later.';
  return `# Error kinds\n\n${intro}\n\n| Kind | Status | Ran | Retry | Meaning |\n| --- | --- | --- | --- | --- |\n${rows.join('\n')}\n`;
};

const renderMetrics = () => {
  const names = [
    ...definitions.EventName.enum.map((name) => `events.${name}`),
    ...definitions.RefusalReason.enum.map((reason) => `refusals.${reason}`),
  ];
  const rows = names.map((name) => `| \`toucanline.${name}\` | counter |`);
  const intro =
    'If the settings have a `statsd` section, metrics are sent to statsd over UDP with the tags ' +
    '`environment`, `process` and `data_centre`. Each timeline event increments the counter of its name. ' +
    'Each refused or closed connection increments the counter of its reason. ' +
    'The duration of an event, if it has one, is also sent as the timer `toucanline.durations.NAME`, in ' +
    'milliseconds.';
  return `# Metrics\n\n${intro}\n\n| Metric | Type |\n| --- | --- |\n${rows.join('\n')}\n`;
};

const renderEvents = () => {
  const { properties } = definitions.HostEvents;
  const sections = Object.entries(properties).map(([name, { description, properties: fields }]) => {
    const rows = Object.entries(fields).map(
      ([field, schema]) =>
        `| \`${field}\` | ${escapeCell(describeType(schema))} | ${escapeCell(schema.description ?? '')} |`,
    );
    return `## ${name}\n\n${description}\n\n| Field | Type | Meaning |\n| --- | --- | --- |\n${rows.join('\n')}\n`;
  });
  const intro =
    '`toucanline-host` writes one JSON object per line to standard output. `message` is the name of the ' +
    'event, `time` the Unix time in milliseconds and `sequence` a number that increases within the process. ' +
    '`context` has the fields below, and `process` and `logLevel`. At most 100 lines per event name are ' +
    'written in each second.';
  return `# Log events\n\n${intro}\n\n${sections.join('\n')}`;
};

const banner = '<!-- Generated by scripts/generateReference.mjs. Do not edit. -->\n\n';
const pages = {
  'document.md': renderObject(
    'Configuration document',
    'One TOML document per environment, at most 900,000 bytes when encoded as JSON. Examples: ' +
      '[korvaava.toml](../examples/korvaava.toml), [cascadia.toml](../examples/cascadia.toml).',
    ['Document'],
  ),
  'settings.md': renderObject(
    'Settings',
    'TOML files: `ProcessSettings` for `toucanline-entry` and `toucanline-scheduler`, ' +
      '`ClientSettings` for `toucanline`.',
    ['ProcessSettings', 'ClientSettings'],
  ),
  'errors.md': renderErrors(),
  'metrics.md': renderMetrics(),
  'events.md': renderEvents(),
};

mkdirSync(outputFolder, { recursive: true });
const isCheckOnly = process.argv.includes('--check');
let isOutdated = false;
for (const [name, content] of Object.entries(pages)) {
  const path = join(outputFolder, name);
  const prettierOptions = await prettier.resolveConfig(path);
  const page = await prettier.format(banner + content, { ...prettierOptions, parser: 'markdown' });
  let committed = '';
  try {
    committed = readFileSync(path, 'utf8');
  } catch {
    // A missing page counts as out of date.
  }
  if (committed === page) continue;
  isOutdated = true;
  if (isCheckOnly)
    console.error(`docs/reference/${name} is out of date; run node scripts/generateReference.mjs`);
  else writeFileSync(path, page);
}
if (isOutdated && isCheckOnly) process.exit(1);
