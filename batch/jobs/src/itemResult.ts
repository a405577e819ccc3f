import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";

/** Final result of one item, stored as one line of a result segment. */
export interface ItemResult {
    index: number;
    /** Whether the line belongs in the error file. */
    failed: boolean;
    /** Line of the output or error file. */
    line: JsonObject;
}
