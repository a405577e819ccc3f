import type { Readiness } from "./readiness.js";

/** Options of a process to launch. */
export interface LaunchOptions {
    /** Base name of its settings file and log file; unique within the folder. */
    name: string;
    /** JavaScript file to run with Node.js. */
    mainFile: string;
    /** Folder for its settings and log file. */
    folder: string;
    /** Written as YAML and passed with `--settings`; no settings file where undefined. */
    settings?: unknown;
    arguments?: string[];
    /** Options of Node.js itself, such as `--cpu-prof`. */
    nodeArguments?: string[];
    environment?: { [name: string]: string; };
    /** Readiness check; the launch doesn't wait where undefined. */
    readiness?: Readiness;
    readyTimeoutMs?: number;
}
