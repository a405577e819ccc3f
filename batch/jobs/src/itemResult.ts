import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";

/** The final result of one item, one line of a result segment. */
export interface ItemResult {
    index: number;
    /** Whether it belongs in the error file. */
    failed: boolean;
    /** The line of the output or error file. */
    line: JsonObject;
}
