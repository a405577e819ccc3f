// Updates the TypeScript project references from the workspace dependencies in each package.json. With --check it only
// reports differences.
import { existsSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import path from "node:path";

const root = path.resolve(import.meta.dirname, "..");
const check = process.argv.includes("--check");
const readJson = file => JSON.parse(readFileSync(file, "utf8"));
const domains = readJson(path.join(root, "package.json")).workspaces.map(pattern => pattern.replace("/*", ""));
const packages = domains
    .filter(domain => existsSync(path.join(root, domain)))
    .flatMap(domain => readdirSync(path.join(root, domain)).map(name => `${domain}/${name}`))
    .filter(folder => existsSync(path.join(root, folder, "package.json")))
    .sort();
const folderByName = new Map(packages.map(folder => [readJson(path.join(root, folder, "package.json")).name, folder]));

const stale = [];
/** Imports of packages that package.json does not list. Whether the importer builds depends on the build order. */
const undeclared = [];
const write = (file, value) => {
    const text = `${JSON.stringify(value, undefined, 4)}\n`;
    if (existsSync(file) && readFileSync(file, "utf8") === text) {
        return;
    }
    stale.push(path.relative(root, file));
    if (!check) {
        writeFileSync(file, text);
    }
};

/** Returns the names of the workspace packages that a package imports, shape [names]. */
const importedBy = folder =>
    ["src", "test"]
        .map(part => path.join(root, folder, part))
        .filter(existsSync)
        .flatMap(part => readdirSync(part, { recursive: true }).map(file => path.join(part, file)))
        .filter(file => file.endsWith(".ts"))
        .flatMap(file =>
            [...readFileSync(file, "utf8").matchAll(/"(@knapweedwood\/[a-z.-]+)\//gu)].map(match => match[1])
        );

packages.forEach(folder => {
    const manifest = readJson(path.join(root, folder, "package.json"));
    const internal = Object.keys({ ...manifest.dependencies, ...manifest.devDependencies })
        .filter(name => folderByName.has(name))
        .map(name => folderByName.get(name))
        .sort();
    const missing = new Set(
        importedBy(folder).filter(name => name !== manifest.name && !internal.includes(folderByName.get(name))),
    );
    undeclared.push(...[...missing].map(name => `${folder} imports ${name}`));
    write(path.join(root, folder, "tsconfig.json"), {
        extends: "../../tsconfig.base.json",
        compilerOptions: { rootDir: ".", outDir: "dist" },
        include: ["src", "test", ...existsSync(path.join(root, folder, "charts")) ? ["charts/*.json"] : []],
        references: internal.map(target => ({ path: path.relative(folder, target) })),
    });
});
write(path.join(root, "tsconfig.json"), { files: [], references: packages.map(folder => ({ path: folder })) });

if (undeclared.length > 0) {
    console.error(`Dependencies missing in package.json: ${undeclared.join(", ")}`);
    process.exit(1);
}
if (check && stale.length > 0) {
    console.error(`Project references are outdated, run node scripts/updateReferences.mjs: ${stale.join(", ")}`);
    process.exit(1);
}
