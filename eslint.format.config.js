import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

/** Formatter rules: Standard style, formatting included. */
export default [
  ...neostandard({ ts: true, ignores: resolveIgnoresFromGitignore() }),
  {
    files: ['**/*.ts'],
    // The compiler finds real redeclarations; a type and a value of one name are allowed.
    rules: { '@typescript-eslint/no-redeclare': 'off' },
  },
]
