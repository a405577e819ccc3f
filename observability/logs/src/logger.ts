import type { LogFields } from "./logFields.js";

/** Writes JSON lines. */
export interface Logger {
    debug(event: string, fields?: LogFields): void;
    info(event: string, fields?: LogFields): void;
    warn(event: string, fields?: LogFields): void;
    error(event: string, fields?: LogFields): void;
    /** A logger that adds `fields` to each line. */
    child(fields: LogFields): Logger;
}
