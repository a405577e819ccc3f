import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { GenerateEvent } from "./generateEvent.js";
import type { JsonObject } from "./jsonObject.js";
import type { Usage } from "./usage.js";

const END_OF_STREAM = "[DONE]";
const TEXT_DELTA_FIELDS = ["role", "content"];

interface StreamChoice {
    index?: number;
    text?: string;
    delta?: { role?: string; content?: string | null; };
    finish_reason?: string | null;
    logprobs?: unknown;
}

interface StreamUsage {
    prompt_tokens?: number;
    completion_tokens?: number;
    prompt_tokens_details?: { cached_tokens?: number; } | null;
}

interface StreamChunk {
    choices?: StreamChoice[];
    usage?: StreamUsage | null;
    error?: { message?: string; code?: number | string; };
}

/** Converts the chunk objects of an OpenAI-compatible stream to {@link GenerateEvent}s. */
export class CompletionChunkReader {
    private usage: Usage | undefined;
    private finishReason: string | undefined;
    private tokenCount = 0;
    private ended = false;

    /** Whether the end marker of the stream was read. */
    get isEnded(): boolean {
        return this.ended;
    }

    /**
     * Reads the data of one server-sent event. Throws `ENGINE_FAILED` for an error that the engine reports, and
     * `ENGINE_STREAM_MALFORMED` for data that is not JSON.
     *
     * @returns the events of the chunk, at most one per choice, shape [events]; one finish event for the end marker
     */
    read(data: string): GenerateEvent[] {
        if (data === END_OF_STREAM) {
            this.ended = true;
            return [this.finishEvent()];
        }
        const chunk = parseChunk(data);
        if (chunk.usage !== undefined && chunk.usage !== null) {
            this.usage = usageOf(chunk.usage);
        }
        return (chunk.choices ?? []).flatMap(choice => this.readChoice(choice));
    }

    private readChoice(choice: StreamChoice): GenerateEvent[] {
        this.finishReason = choice.finish_reason ?? this.finishReason;
        const text = choice.text ?? choice.delta?.content ?? "";
        const hasMore = hasMoreThanText(choice);
        if (text === "" && !hasMore) {
            return [];
        }
        this.tokenCount += 1;
        const event: GenerateEvent = { kind: "chunk", text, tokenCount: 1 };
        return [hasMore ? { ...event, choice: choice as JsonObject } : event];
    }

    private finishEvent(): GenerateEvent {
        const usage = this.usage ?? { promptTokens: 0, completionTokens: this.tokenCount, cachedTokens: 0 };
        return { kind: "finish", finishReason: this.finishReason ?? "stop", usage };
    }
}

function parseChunk(data: string): StreamChunk {
    const chunk = parseJson(data);
    if (chunk.error !== undefined) {
        throw new KnapweedError("ENGINE_FAILED", chunk.error.message ?? "The engine failed during the stream", {
            outcome: "unknown",
            statusCode: 502,
        });
    }
    return chunk;
}

function parseJson(data: string): StreamChunk {
    try {
        return JSON.parse(data) as StreamChunk;
    }
    catch (cause) {
        throw new KnapweedError("ENGINE_STREAM_MALFORMED", "The engine sent a chunk that is not valid JSON", {
            outcome: "unknown",
            statusCode: 502,
            cause,
        });
    }
}

function hasMoreThanText(choice: StreamChoice): boolean {
    const hasOtherDelta = Object.entries(choice.delta ?? {})
        .some(([field, value]) => !TEXT_DELTA_FIELDS.includes(field) && value !== null && value !== undefined);
    const hasLogProbabilities = choice.logprobs !== undefined && choice.logprobs !== null;
    return hasOtherDelta || hasLogProbabilities || (choice.index ?? 0) > 0;
}

function usageOf(usage: StreamUsage): Usage {
    return {
        promptTokens: usage.prompt_tokens ?? 0,
        completionTokens: usage.completion_tokens ?? 0,
        cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
    };
}
