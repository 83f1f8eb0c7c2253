import tsdoc from 'eslint-plugin-tsdoc';
import tseslint from 'typescript-eslint';
import { oneExport } from './scripts/oneExport.mjs';

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      'packages/schema/generated/**',
      'platform/generated/**',
      'target/**',
      '**/*.mjs',
      '**/*.cjs',
    ],
  },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: { tsdoc, local: { rules: { 'one-export': oneExport } } },
    rules: {
      'tsdoc/syntax': 'error',
      // Allows unused variables in a destructuring that omits fields: `const { omitted, ...rest } = value`.
      '@typescript-eslint/no-unused-vars': [
        'error',
        { ignoreRestSiblings: true, varsIgnorePattern: '^_' },
      ],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-extraneous-class': ['error', { allowStaticOnly: false }],
    },
  },
  {
    files: ['**/src/**/*.ts'],
    ignores: ['**/index.ts'],
    rules: { 'local/one-export': 'error' },
  },
  {
    // These packages are independent of the host environment: I/O, time, timers and random numbers are passed in.
    files: ['packages/core/src/**/*.ts', 'packages/jobs/src/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            { group: ['node:*', 'undici', 'restana', 'cbor-x', 'roarr', 'hot-shots'] },
            { group: ['@toucanline/*', '!@toucanline/schema', '!@toucanline/core'] },
          ],
        },
      ],
      'no-restricted-globals': [
        'error',
        'Date',
        'process',
        'setTimeout',
        'setInterval',
        'fetch',
        'performance',
      ],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random' }],
    },
  },
  {
    files: ['**/__tests__/**/*.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off' },
  },
);
