// Writes the V8 code cache of a bundled program next to it: node FLAGS scripts/cacheCode.cjs PROGRAM
// V8 accepts a code cache only from a process with the same flags, so FLAGS must be those of the program.
const { rmSync, writeFileSync } = require("node:fs");
const path = require("node:path");

const target = path.join(__dirname, "../target");
const program = process.argv[2];
const cacheFile = path.join(target, `${program}.cache`);
rmSync(cacheFile, { force: true });
// Without settings the program calls process.exit, or process.kill if its output isn't written in time. The cache contains the
// code that was compiled until then.
process.exit = () => {
    throw new Error("The program called process.exit");
};
process.kill = process.exit;
process.on("unhandledRejection", () => undefined);
const script = require(path.join(target, "launch.cjs"));
setTimeout(() => {
    writeFileSync(cacheFile, script.createCachedData());
    process.reallyExit(0);
}, 200);
