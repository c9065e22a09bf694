import neostandard from 'neostandard'
import tsdoc from 'eslint-plugin-tsdoc'

export default [
  { ignores: ['dist/**', 'node_modules/**', 'bench-out/**', 'coverage/**', 'target/**', 'journal/**'] },
  ...neostandard({ ts: true, env: ['mocha'] }),
  {
    files: ['**/*.ts'],
    plugins: { tsdoc },
    rules: { 'no-void': ['error', { allowAsStatement: true }], 'tsdoc/syntax': 'error', 'max-lines': ['error', 350] }
  }
]
