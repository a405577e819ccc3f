import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";

/** One line of a batch input file. */
export interface InputLine {
    customId: string;
    url: string;
    body: JsonObject;
}
