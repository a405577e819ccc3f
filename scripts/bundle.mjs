// Bundles each program of a fleet to one file under target/, straight from the sources.
import { build } from "esbuild";
import { mkdirSync } from "node:fs";
import path from "node:path";

const root = path.resolve(import.meta.dirname, "..");
const programs = ["gateway", "runner"];

mkdirSync(path.join(root, "target"), { recursive: true });
await build({
    entryPoints: programs.map(program => path.join(root, "daemons/fleet/src", `${program}.ts`)),
    outdir: path.join(root, "target"),
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    format: "esm",
    target: "node20",
    conditions: ["source"],
    // Packages in the older module format call require.
    banner: {
        js: 'import { createRequire as createBundleRequire } from "node:module"; '
            + "const require = createBundleRequire(import.meta.url);",
    },
    logLevel: "warning",
});
