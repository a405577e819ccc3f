import type { Revision } from "@knapweedwood/core.ids/revision";
import type { ConfigurationChange } from "./configurationChange.js";

/** A publish, as an operator asks for it. */
export interface PublishRequest {
    /** Who publishes, for the audit trail. */
    actor: string;
    changes: ConfigurationChange[];
    message?: string;
    /** The revision that the operator has seen; changes of the same records since then are a conflict. */
    baseRevision?: Revision;
    /** Checks and shows the difference only. */
    dryRun?: boolean;
}
