/** A parsed log line. */
export interface LogLine {
    timeMs: number;
    level: string;
    event: string;
    instance: string;
    /** All other fields. */
    fields: { [field: string]: unknown; };
}
