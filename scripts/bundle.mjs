// Bundles the host's process into one file under target/: it starts without resolving hundreds of modules.
import { join } from 'node:path';
import { build } from 'esbuild';

const root = join(import.meta.dirname, '..');
const sources = (name) => join(root, 'packages', name, 'src');

await build({
  entryPoints: [join(root, 'platform', 'src', 'bin', 'toucanline-host.ts')],
  outfile: join(root, 'target', 'toucanline-host.mjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  legalComments: 'none',
  alias: {
    '@toucanline/runtime/Log': join(sources('runtime'), 'Log.ts'),
    '@toucanline/runtime/readBody': join(sources('runtime'), 'readBody.ts'),
    ...Object.fromEntries(
      ['schema', 'core', 'jobs', 'daemon', 'clients', 'wire'].map((name) => [
        `@toucanline/${name}`,
        join(sources(name), 'index.ts'),
      ]),
    ),
  },
  // Bundled CommonJS modules call `require` for Node.js's own modules.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
});
