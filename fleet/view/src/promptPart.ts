import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";

/** A part of a prompt with its size. An upstream that keeps all parts up to this one doesn't read them again. */
export interface PromptPart {
    id: PromptPartId;
    tokens: number;
}
