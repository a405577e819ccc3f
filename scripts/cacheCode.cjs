// Writes the compiled code of a bundled program beside it: node FLAGS scripts/cacheCode.cjs PROGRAM
// V8 takes a cache only from a process with the same flags, so this runs with those of the program.
const { rmSync, writeFileSync } = require("node:fs");
const path = require("node:path");

const target = path.join(__dirname, "../target");
const program = process.argv[2];
const cacheFile = path.join(target, `${program}.cache`);
rmSync(cacheFile, { force: true });
// Without settings the program would end the process; what it has loaded by then is what is cached.
process.exit = () => {
    throw new Error("ended by the program");
};
process.on("unhandledRejection", () => undefined);
const script = require(path.join(target, "launch.cjs"));
setTimeout(() => {
    writeFileSync(cacheFile, script.createCachedData());
    process.reallyExit(0);
}, 200);
