// Creates an empty package: node scripts/newPackage.mjs DOMAIN/NAME DESCRIPTION [DEPENDENCY …]
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import path from "node:path";

const root = path.resolve(import.meta.dirname, "..");
const [folder, description, ...dependencies] = process.argv.slice(2);
const [domain, name] = folder.split("/");
const versions = JSON.parse(readFileSync(path.join(root, "scripts/versions.json"), "utf8"));
const target = path.join(root, folder);
const manifestFile = path.join(target, "package.json");
mkdirSync(path.join(target, "src"), { recursive: true });
mkdirSync(path.join(target, "test"), { recursive: true });
const manifest = {
    name: `@knapweedwood/${domain}.${name}`,
    version: "0.1.0",
    private: true,
    description,
    license: "Apache-2.0",
    type: "module",
    exports: { "./*": { source: "./src/*.ts", default: "./dist/src/*.js" } },
    dependencies: Object.fromEntries(
        dependencies
            .map(dependency =>
                dependency.includes("/") && !dependency.startsWith("@")
                    ? [`@knapweedwood/${dependency.replace("/", ".")}`, "0.1.0"]
                    : [dependency, versions[dependency]]
            )
            .sort(([left], [right]) => left < right ? -1 : 1),
    ),
};
if (!existsSync(manifestFile)) {
    writeFileSync(manifestFile, `${JSON.stringify(manifest, undefined, 4)}\n`);
    writeFileSync(path.join(target, "README.md"), `# @knapweedwood/${domain}.${name}\n\n${description}.\n`);
}
