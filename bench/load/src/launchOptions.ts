import type { Readiness } from "./readiness.js";

/** A process to launch. */
export interface LaunchOptions {
    /** Names its settings and log file; unique within the folder. */
    name: string;
    /** JavaScript file to run with Node.js. */
    mainFile: string;
    /** Folder for its settings and log file. */
    folder: string;
    /** Written as YAML and passed by `--settings`; none where undefined. */
    settings?: unknown;
    arguments?: string[];
    /** Options of Node.js itself, such as `--cpu-prof`. */
    nodeArguments?: string[];
    environment?: { [name: string]: string; };
    readiness?: Readiness;
    readyTimeoutMs?: number;
}
