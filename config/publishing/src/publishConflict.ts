import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { RecordDifference } from "./recordDifference.js";

const CONFLICT_STATUS_CODE = 409;

/** Error of a publish that changes a record which another publish has changed meanwhile. Nothing was published. */
export class PublishConflict extends KnapweedError {
    readonly conflicts: RecordDifference[];

    constructor(conflicts: RecordDifference[]) {
        const names = conflicts.map(conflict => conflict.recordKey).join(", ");
        super("PUBLISH_CONFLICT", `Another publish has changed these records meanwhile: ${names}`, {
            outcome: "not-run",
            statusCode: CONFLICT_STATUS_CODE,
            hint: "Read the records again, reapply your changes and publish again.",
        });
        this.conflicts = conflicts;
    }
}
