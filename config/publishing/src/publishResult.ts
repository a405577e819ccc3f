import type { Revision } from "@knapweedwood/core.ids/revision";
import type { RecordDifference } from "./recordDifference.js";

/** Result of a publish. */
export interface PublishResult {
    /** The published revision. The current revision if nothing changed or for a dry run; 0 if there is none. */
    revision: Revision;
    digest: string;
    difference: RecordDifference[];
    published: boolean;
}
