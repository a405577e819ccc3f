// Runs a bundled program with the code cache that was written at build time, so that a restarted process starts faster.
const { existsSync, readFileSync } = require("node:fs");
const path = require("node:path");
const { Script } = require("node:vm");

const program = process.argv[2];
const file = path.join(__dirname, `${program}.cjs`);
const cacheFile = path.join(__dirname, `${program}.cache`);
const script = new Script(
    `(function (exports, require, module, __filename, __dirname) {${readFileSync(file, "utf8")}\n})`,
    { filename: file, cachedData: existsSync(cacheFile) ? readFileSync(cacheFile) : undefined },
);
if (script.cachedDataRejected === true) {
    process.stdout.write(`${JSON.stringify({ level: "warn", event: "code-cache-rejected", program })}\n`);
}
const programModule = { exports: {} };
script.runInThisContext()(programModule.exports, require, programModule, file, __dirname);
module.exports = script;
