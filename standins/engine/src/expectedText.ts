import { textHash } from "@knapweedwood/core.hashing/textHash";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import { promptTextOf } from "@knapweedwood/engines.model-engine/promptTextOf";
import { tokenTargetOf } from "./tokenTargetOf.js";
import { tokenText } from "./tokenText.js";

/**
 * The text that the stand-in engine answers a request with.
 *
 * @param request `tokenCount` is the number of tokens wanted; the whole answer where undefined
 */
export function expectedText(request: GenerateRequest & { tokenCount?: number; }): string {
    const promptHash = textHash(promptTextOf(request.body));
    const length = request.tokenCount ?? tokenTargetOf(request.body).tokenCount;
    return Array.from({ length }, (_, index) => tokenText(promptHash, index)).join("");
}
