/** A JSON object with unchecked fields; code that uses a field checks its type. */
export type JsonObject = { [field: string]: unknown; };
