// Bundles each program of a fleet from its TypeScript sources into one file in target/, and caches its compiled code.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdirSync, readFileSync } from "node:fs";
import path from "node:path";
import { parse } from "smol-toml";

const root = path.resolve(import.meta.dirname, "..");
const programs = ["gateway", "runner"];

const useUndiciClients = {
    name: "undici-clients",
    setup: ({ onResolve }) =>
        onResolve({ filter: /^undici$/ }, () => ({ path: path.join(root, "scripts/undiciClients.mjs") })),
};

/**
 * Modules that take long to load and that the programs do without. undici takes the first for a Node.js without HTTP/2,
 * and msgpackr has the functions of the second in JavaScript.
 */
const omittedModules = {
    "node:http2": "module.exports = { constants: {} };",
    "msgpackr-extract": "throw new Error('Omitted from bundles');",
};

const omitModules = {
    name: "omit-modules",
    setup: ({ onResolve, onLoad }) => {
        Object.keys(omittedModules).forEach(name =>
            onResolve({ filter: new RegExp(`^${name}$`) }, () => ({ path: name, namespace: "omitted" }))
        );
        onLoad({ filter: /.*/, namespace: "omitted" }, ({ path: name }) => ({ contents: omittedModules[name] }));
    },
};

mkdirSync(path.join(root, "target"), { recursive: true });
await build({
    entryPoints: programs.map(program => path.join(root, "daemons/fleet/src", `${program}.ts`)),
    outdir: path.join(root, "target"),
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    conditions: ["source"],
    plugins: [useUndiciClients, omitModules],
    minify: true,
    keepNames: true,
    logLevel: "warning",
});
copyFileSync(path.join(root, "scripts/launch.cjs"), path.join(root, "target/launch.cjs"));
const { roles } = parse(readFileSync(path.join(root, "deploy/system.toml"), "utf8"));
programs.forEach(program => {
    const flags = roles[program].run.split(" ").filter(word => word.startsWith("--"));
    execFileSync(process.execPath, [...flags, path.join(root, "scripts/cacheCode.cjs"), program]);
});
