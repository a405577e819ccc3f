import { textHash } from "@knapweedwood/core.hashing/textHash";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import { promptTextOf } from "@knapweedwood/engines.model-engine/promptTextOf";
import { tokenTargetOf } from "./tokenTargetOf.js";
import { tokenText } from "./tokenText.js";

/**
 * Returns the text that the stand-in engine generates for a request.
 *
 * @param request `tokenCount` is the number of tokens to return; if undefined, all of them
 */
export function expectedText(request: GenerateRequest & { tokenCount?: number; }): string {
    const promptHash = textHash(promptTextOf(request.body));
    const length = request.tokenCount ?? tokenTargetOf(request.body).tokenCount;
    return Array.from({ length }, (_, index) => tokenText(promptHash, index)).join("");
}
