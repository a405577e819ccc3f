import type { JsonObject } from "./jsonObject.js";
import type { Usage } from "./usage.js";

/** One event of a generation. */
export type GenerateEvent =
    | {
        kind: "chunk";
        text: string;
        tokenCount: number;
        /** The engine's choice object, if it contains more than text, such as tool calls or log probabilities. */
        choice?: JsonObject;
    }
    | { kind: "finish"; finishReason: string; usage: Usage; };
