import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import { usageObject } from "./usageObject.js";

const MS_PER_SECOND = 1000;

/** Makes the chunks of a streamed answer, in the published form of the OpenAI API. */
export class ChunkObjects {
    private readonly head: { id: string; object: string; created: number; model: unknown; };
    private readonly isChat: boolean;
    private isFirst = true;

    constructor(opts: { id: string; nowMs: number; request: GenerateRequest; }) {
        this.isChat = opts.request.endpoint === "/v1/chat/completions";
        this.head = {
            id: opts.id,
            object: this.isChat ? "chat.completion.chunk" : "text_completion",
            created: Math.floor(opts.nowMs / MS_PER_SECOND),
            model: opts.request.body["model"],
        };
    }

    /** The chunk of an event. */
    chunk(event: GenerateEvent): object {
        return { ...this.head, choices: [this.isChat ? this.chatChoice(event) : textChoice(event)] };
    }

    /** The chunk that carries the usage and no choice. */
    usage(event: Extract<GenerateEvent, { kind: "finish"; }>): object {
        return { ...this.head, choices: [], usage: usageObject(event.usage) };
    }

    private chatChoice(event: GenerateEvent): object {
        if (event.kind === "finish") {
            return { index: 0, delta: {}, logprobs: null, finish_reason: event.finishReason };
        }
        const role = this.isFirst ? { role: "assistant" } : {};
        this.isFirst = false;
        return {
            index: 0,
            delta: { ...role, content: event.text },
            logprobs: null,
            finish_reason: null,
            ...event.choice,
        };
    }
}

function textChoice(event: GenerateEvent): object {
    if (event.kind === "finish") {
        return { index: 0, text: "", logprobs: null, finish_reason: event.finishReason };
    }
    return { index: 0, text: event.text, logprobs: null, finish_reason: null, ...event.choice };
}
