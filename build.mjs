// Bundles each binary into one file, so that a daemon loads only the code it needs.
// node build.mjs [FOLDER]: with a folder, the programs that run on the users' platform go there.
import { build } from 'esbuild'

const PRODUCT = { from: 'src/bin', to: 'dist', names: ['oleanderward-entry', 'oleanderward-control', 'oleanderctl'] }
const PLATFORM = { from: 'platform', to: process.argv[2], names: ['platform-entry', 'platform-control', 'platform-check'] }

for (const { from, to, names } of [PRODUCT, PLATFORM]) {
  if (to === undefined || (process.argv[2] !== undefined && to === PRODUCT.to)) continue
  await build({
    entryPoints: names.map((name) => ({ in: `${from}/${name}.ts`, out: name })),
    outdir: to,
    outExtension: { '.js': '.mjs' },
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    minify: true,
    banner: {
      js: "#!/usr/bin/env node\nimport { createRequire as __createRequire } from 'node:module';const require = __createRequire(import.meta.url);"
    },
    logLevel: 'warning'
  })
}
