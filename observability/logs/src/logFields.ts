/** Structured fields of a log line. The names of the fields that each line has are taken. */
export type LogFields = { [field: string]: unknown; time?: never; level?: never; event?: never; };
