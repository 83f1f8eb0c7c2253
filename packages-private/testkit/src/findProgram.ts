import { createRequire } from 'node:module';
import { join } from 'node:path';

const require = createRequire(import.meta.url);

/**
 * Finds the built script of a program.
 *
 * @param workspace - package that contains it
 * @param name - name of the program
 * @returns path of the script
 */
export const findProgram = (
  workspace: 'cli' | 'entry' | 'platform' | 'scheduler',
  name: string,
): string =>
  require.resolve(`@toucanline/${workspace}`).replace(/index\.js$/, join('bin', `${name}.js`));
