import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

/** Linter rules: Standard style without its formatting rules. */
export default [
  ...neostandard({ ts: true, noStyle: true, ignores: resolveIgnoresFromGitignore() }),
  {
    files: ['**/*.ts'],
    // The compiler reports real redeclarations; a type and a value may have the same name.
    rules: { '@typescript-eslint/no-redeclare': 'off' },
  },
]
