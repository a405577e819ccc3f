import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { RecordDifference } from "./recordDifference.js";

const CONFLICT_STATUS_CODE = 409;

/** Someone else changed a record that the publish touches. Nothing was published. */
export class PublishConflict extends KnapweedError {
    readonly conflicts: RecordDifference[];

    constructor(conflicts: RecordDifference[]) {
        const names = conflicts.map(conflict => conflict.recordKey).join(", ");
        super("PUBLISH_CONFLICT", `Changed by someone else meanwhile: ${names}`, {
            outcome: "not-run",
            statusCode: CONFLICT_STATUS_CODE,
            hint: "Read the records again, bring in the change, and publish once more.",
        });
        this.conflicts = conflicts;
    }
}
