// Writes docs/operators/errors.md, a table of all stable error codes with their messages and packages.
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import path from "node:path";

const root = path.resolve(import.meta.dirname, "..");
const domains = JSON.parse(readFileSync(path.join(root, "package.json"), "utf8")).workspaces
    .map(pattern => pattern.replace("/*", ""))
    .filter(domain => domain !== "standins" && domain !== "bench");
const CODE_PATTERN =
    /(?:new KnapweedError|notRunError|unauthorized|invalid)\(\s*"([A-Z][A-Z_]+)",\s*(?:"((?:[^"\\]|\\.)*)"|`((?:[^`\\]|\\.)*)`)/gu;

const sources = domains.flatMap(domain =>
    readdirSync(path.join(root, domain), { recursive: true })
        .filter(file => /^[^/]+\/src\/.*\.ts$/u.test(file))
        .map(file => ({ folder: `${domain}/${file.split("/")[0]}`, file: path.join(root, domain, file) }))
);
const found = sources.flatMap(({ folder, file }) =>
    [...readFileSync(file, "utf8").matchAll(CODE_PATTERN)].map(([, code, plain, template]) => ({
        code,
        message: (plain ?? template).replace(/\$\{[^}]*\}/gu, "…"),
        folder,
    }))
);
const rows = [...new Map(found.map(entry => [`${entry.code} ${entry.folder}`, entry])).values()]
    .sort((left, right) => left.code < right.code ? -1 : 1)
    .map(({ code, message, folder }) => `| \`ERR_KNAPWEED_${code}\` | ${message} | ${folder} |`);
const page = `# Error codes

Codes are stable across releases. Answers carry the code in \`error.code\`, what became of the request in the header
\`x-knapweed-outcome\` (\`answered\`, \`not-run\` or \`unknown\`), and \`retry-after\` where coming back helps. Made by
\`node scripts/errorCodes.mjs\`.

| code | message | package |
| --- | --- | --- |
${rows.join("\n")}
`;
writeFileSync(path.join(root, "docs/operators/errors.md"), page);
