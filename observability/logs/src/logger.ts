import type { LogFields } from "./logFields.js";

/** Writes log events with structured fields. */
export interface Logger {
    debug(event: string, fields?: LogFields): void;
    info(event: string, fields?: LogFields): void;
    warn(event: string, fields?: LogFields): void;
    error(event: string, fields?: LogFields): void;
    /** Returns a logger that adds `fields` to each line. */
    child(fields: LogFields): Logger;
}
