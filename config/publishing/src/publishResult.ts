import type { Revision } from "@knapweedwood/core.ids/revision";
import type { RecordDifference } from "./recordDifference.js";

/** Outcome of a publish. */
export interface PublishResult {
    /** The revision published, or the current one where nothing changed or nothing was to be written. */
    revision: Revision;
    digest: string;
    difference: RecordDifference[];
    published: boolean;
}
