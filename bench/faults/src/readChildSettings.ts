import { readFileSync } from "node:fs";
import { parse } from "yaml";

/** Reads the settings of a child process of the experiment from the YAML file named by `--settings`. */
export function readChildSettings<Settings>(): Settings {
    const file = process.argv[process.argv.indexOf("--settings") + 1] ?? "";
    return parse(readFileSync(file, "utf8")) as Settings;
}
