/** A JSON object whose fields are checked where they are used. */
export type JsonObject = { [field: string]: unknown; };
