// Bundles the host process (toucanline-host) into one file in target/, which starts faster because no modules
// have to be resolved.
import { join } from 'node:path';
import { build } from 'esbuild';

const root = join(import.meta.dirname, '..');
const sourceFolder = (name) => join(root, 'packages', name, 'src');

const { metafile } = await build({
  metafile: true,
  entryPoints: [join(root, 'platform', 'src', 'bin', 'toucanline-host.ts')],
  outfile: join(root, 'target', 'toucanline-host.mjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  legalComments: 'none',
  alias: {
    '@toucanline/runtime': sourceFolder('runtime'),
    ...Object.fromEntries(
      ['schema', 'core', 'jobs', 'daemon', 'clients', 'wire'].map((name) => [
        `@toucanline/${name}`,
        join(sourceFolder(name), 'index.ts'),
      ]),
    ),
  },
  // Bundled CommonJS modules call `require` for built-in modules of Node.js, and ES modules do not define it.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
});

// A package that is missing from the aliases is read from its build output, which hosts do not have.
const built = Object.keys(metafile.inputs).filter((path) =>
  /^(packages|platform).*\/dist\//.test(path),
);
if (built.length > 0) throw new Error(`add an alias for the package of ${built.join(', ')}`);
