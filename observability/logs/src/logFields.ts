/** Structured fields of a log line. */
export type LogFields = { [field: string]: unknown; };
