import type { Brand } from "@knapweedwood/core.ids/brand";

/** Key of a record: `service/NAME`, `team/ID` or `key/ID`. */
export type RecordKey = Brand<string, "RecordKey">;
