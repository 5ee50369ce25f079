import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

/** Linter rules: Standard style without its formatting part. */
export default [
  ...neostandard({ ts: true, noStyle: true, ignores: resolveIgnoresFromGitignore() }),
  {
    files: ['**/*.ts'],
    // The compiler finds real redeclarations; a type and a value of one name are allowed.
    rules: { '@typescript-eslint/no-redeclare': 'off' },
  },
]
