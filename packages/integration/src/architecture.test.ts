/**
 * Checks that packages depend on each other as docs/ARCHITECTURE.md states, and that modules have no import cycles.
 */
import { readdirSync, readFileSync } from 'node:fs'
import { dirname, join, relative, sep } from 'node:path'
import { fileURLToPath } from 'node:url'
import { assert, describe } from '@vanillathread/testing'

const ROOT = fileURLToPath(new URL('../../../', import.meta.url))
const ARCHITECTURE_PAGE = readFileSync(join(ROOT, 'docs/ARCHITECTURE.md'), 'utf8')

function listSources (folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.ts') && !entry.name.endsWith('.test.ts'))
    .map((entry) => join(entry.parentPath, entry.name))
}

const packages = [...readdirSync(join(ROOT, 'packages')).map((name) => ({ name, folder: join(ROOT, 'packages', name, 'src') })), { name: 'platform', folder: join(ROOT, 'platform/src') }]

/** Returns the modules that a file loads at run time; imports that name only types are left out. */
function listImports (file: string): string[] {
  const text = readFileSync(file, 'utf8')
  const imports = [...text.matchAll(/^(?:import|export)\s+(?!type\s)([^;'\n]*?\{[^}]*\}|[^'\n]*?)\s*from\s+'([^']+)'/gm)]
  return imports
    .filter(([, names = '']) => {
      const braces = /\{([^}]*)\}/.exec(names)?.[1]
      return braces === undefined || braces.split(',').some((name) => name.trim() !== '' && !name.trim().startsWith('type '))
    })
    .map(([, , target = '']) => target)
}

describe('architecture', ({ it }) => {
  it('has exactly the package dependencies that docs/ARCHITECTURE.md lists', () => {
    const rows = [...ARCHITECTURE_PAGE.matchAll(/^\| ([a-z-]+) \| ?([a-z, -]*)\|$/gm)].filter(([, name]) => name !== 'package')
    const allowed = Object.fromEntries(rows.map(([, name = '', uses = '']) => [name, uses.split(',').map((use) => use.trim()).filter((use) => use !== '')]))
    const found = Object.fromEntries(packages.map(({ name, folder }) => {
      const uses = listSources(folder).flatMap((file) => [...readFileSync(file, 'utf8').matchAll(/from '@vanillathread\/([a-z-]+)'/g)].map(([, use = '']) => use))
      return [name, [...new Set(uses)].sort()]
    }))
    assert.equal(Object.fromEntries(Object.entries(allowed).sort()), Object.fromEntries(Object.entries(found).sort()))
  })

  it('has exactly the import cycles that docs/ARCHITECTURE.md lists', () => {
    const cycles = packages.flatMap(({ folder }) => findCycles(folder))
    const listedCycles = [...(/Modules that load each other today: (.*)/.exec(ARCHITECTURE_PAGE)?.[1] ?? '').matchAll(/`(\w+)` and `(\w+)`/g)].map(([, a = '', b = '']) => [a, b].sort())
    assert.equal(cycles.map((cycle) => cycle.map((file) => file.split('/').at(-1)?.replace('.ts', '') ?? '').sort()), listedCycles)
  })
})

/** Returns the import cycles within a package, each as a list of files. */
function findCycles (folder: string): string[][] {
  const files = listSources(folder)
  const imports = new Map(files.map((file) => [file, listImports(file).filter((target) => target.startsWith('.')).map((target) => join(dirname(file), target.replace(/\.js$/, '.ts')))]))
  const visited = new Set<string>()
  const path: string[] = []
  const cycles: string[][] = []
  const visit = (file: string): void => {
    if (path.includes(file)) cycles.push(path.slice(path.indexOf(file)).map((each) => relative(folder, each).split(sep).join('/')))
    if (path.includes(file) || visited.has(file)) return
    path.push(file)
    for (const target of imports.get(file) ?? []) visit(target)
    path.pop()
    visited.add(file)
  }
  for (const file of files) visit(file)
  return cycles
}
