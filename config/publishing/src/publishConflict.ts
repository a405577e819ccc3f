import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { RecordDifference } from "./recordDifference.js";

const CONFLICT_STATUS_CODE = 409;

/** Rejection of a publish because another publish has changed the same records. Nothing was published. */
export class PublishConflict extends KnapweedError {
    readonly conflicts: RecordDifference[];

    constructor(conflicts: RecordDifference[]) {
        const names = conflicts.map(conflict => conflict.recordKey).join(", ");
        super("PUBLISH_CONFLICT", `Another publish has changed the same records: ${names}`, {
            outcome: "not-run",
            statusCode: CONFLICT_STATUS_CODE,
            hint: "Read the records again, reapply your changes and publish again.",
        });
        this.conflicts = conflicts;
    }
}
