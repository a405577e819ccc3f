import type { Revision } from "@knapweedwood/core.ids/revision";
import type { ConfigurationChange } from "./configurationChange.js";

/** A request of an operator to publish changes. */
export interface PublishRequest {
    /** Who publishes, for the audit trail. */
    actor: string;
    changes: ConfigurationChange[];
    message?: string;
    /** Revision that the changes are based on. Changes by others to the same records since then are a conflict. */
    baseRevision?: Revision;
    /** Whether to only check the changes and return the difference, without publishing. */
    dryRun?: boolean;
}
