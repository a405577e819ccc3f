import type { GenerateEvent } from "./generateEvent.js";
import type { GenerateRequest } from "./generateRequest.js";
import type { JsonObject } from "./jsonObject.js";
import type { Usage } from "./usage.js";

const MS_PER_SECOND = 1000;

interface AssembledChoice {
    text: string;
    finishReason: string | undefined;
    toolCalls: JsonObject[];
    logProbabilities: unknown[];
}

/** Builds OpenAI-compatible chunk objects and response objects from {@link GenerateEvent}s. */
export class CompletionAssembler {
    private readonly isChat: boolean;
    private readonly base: { id: string; created: number; model: string; };
    private readonly choices = new Map<number, AssembledChoice>();
    private usage: Usage | undefined;
    private tokenCount: number;

    constructor(opts: {
        request: GenerateRequest;
        /** Id of the response, without the endpoint's prefix such as `chatcmpl-`. */
        answerId: string;
        createdAtMs: number;
    }) {
        this.isChat = opts.request.endpoint === "/v1/chat/completions";
        this.base = {
            id: `${this.isChat ? "chatcmpl" : "cmpl"}-${opts.answerId}`,
            created: Math.floor(opts.createdAtMs / MS_PER_SECOND),
            model: String(opts.request.body.model ?? ""),
        };
        this.tokenCount = opts.request.resumeFrom?.tokenCount ?? 0;
        this.choice(0).text = opts.request.resumeFrom?.text ?? "";
    }

    /** Text of the first choice and token count of all choices so far, including those of `resumeFrom`. */
    get produced(): { text: string; tokenCount: number; } {
        return { text: this.choice(0).text, tokenCount: this.tokenCount };
    }

    /** Whether the finish event has been added. */
    get isFinished(): boolean {
        return this.usage !== undefined;
    }

    /** Adds an event and returns the chunk objects that a stream sends for it, shape [chunks]. */
    add(event: GenerateEvent): JsonObject[] {
        return event.kind === "chunk" ? [this.addChunk(event)] : this.addFinish(event);
    }

    /** Returns the response object of a call without streaming. */
    response(): JsonObject {
        const choices = [...this.choices.entries()]
            .sort(([left], [right]) => left - right)
            .map(([index, choice]) => this.responseChoice(index, choice));
        const object = this.isChat ? "chat.completion" : "text_completion";
        return { ...this.base, object, choices, usage: usageObjectOf(this.usage) };
    }

    /** Returns the last chunk of a stream whose caller set `stream_options.include_usage`. */
    usageChunk(): JsonObject {
        return { ...this.base, object: this.chunkObject, choices: [], usage: usageObjectOf(this.usage) };
    }

    private get chunkObject(): string {
        return this.isChat ? "chat.completion.chunk" : "text_completion";
    }

    private addChunk(event: Extract<GenerateEvent, { kind: "chunk"; }>): JsonObject {
        return event.choice === undefined ? this.addText(event.text, event.tokenCount) : this.addChoice(event);
    }

    /** Handles the common case: text of the first choice only. */
    private addText(text: string, tokenCount: number): JsonObject {
        const choice = this.choice(0);
        const isFirst = choice.text === "" && choice.toolCalls.length === 0;
        choice.text += text;
        this.tokenCount += tokenCount;
        const delta = isFirst ? { role: "assistant", content: text } : { content: text };
        return this.chunkOf(
            this.isChat
                ? { index: 0, delta, logprobs: null, finish_reason: null }
                : { index: 0, text, logprobs: null, finish_reason: null },
        );
    }

    private addChoice(event: Extract<GenerateEvent, { kind: "chunk"; }>): JsonObject {
        const index = Number(event.choice?.index ?? 0);
        const choice = this.choice(index);
        const delta = (event.choice?.delta ?? {}) as JsonObject;
        const isFirst = choice.text === "" && choice.toolCalls.length === 0;
        choice.text += event.text;
        mergeToolCalls(choice.toolCalls, delta.tool_calls);
        choice.finishReason = stringOf(event.choice?.finish_reason) ?? choice.finishReason;
        if (event.choice?.logprobs !== undefined && event.choice.logprobs !== null) {
            choice.logProbabilities.push(event.choice.logprobs);
        }
        this.tokenCount += event.tokenCount;
        const role = isFirst ? { role: "assistant" } : {};
        const content = this.isChat ? { delta: { ...role, ...delta, content: event.text } } : { text: event.text };
        const logprobs = event.choice?.logprobs ?? null;
        return this.chunkOf({ index, ...content, logprobs, finish_reason: event.choice?.finish_reason ?? null });
    }

    private addFinish(event: Extract<GenerateEvent, { kind: "finish"; }>): JsonObject[] {
        this.usage = event.usage;
        const unfinished = [...this.choices.entries()].filter(([, choice]) => choice.finishReason === undefined);
        return unfinished.map(([index, choice]) => {
            choice.finishReason = event.finishReason;
            const content = this.isChat ? { delta: {} } : { text: "" };
            return this.chunkOf({ index, ...content, logprobs: null, finish_reason: event.finishReason });
        });
    }

    private chunkOf(choice: JsonObject): JsonObject {
        const { id, created, model } = this.base;
        return { id, created, model, object: this.chunkObject, choices: [choice] };
    }

    private choice(index: number): AssembledChoice {
        const existing = this.choices.get(index);
        if (existing !== undefined) {
            return existing;
        }
        const choice = { text: "", finishReason: undefined, toolCalls: [], logProbabilities: [] };
        this.choices.set(index, choice);
        return choice;
    }

    private responseChoice(index: number, choice: AssembledChoice): JsonObject {
        const finish = {
            logprobs: mergeLogProbabilities(choice.logProbabilities),
            finish_reason: choice.finishReason ?? null,
        };
        if (!this.isChat) {
            return { index, text: choice.text, ...finish };
        }
        const toolCalls = choice.toolCalls.length > 0 ? { tool_calls: choice.toolCalls } : {};
        const content = choice.text === "" && choice.toolCalls.length > 0 ? null : choice.text;
        return { index, message: { role: "assistant", content, refusal: null, ...toolCalls }, ...finish };
    }
}

function usageObjectOf(usage: Usage | undefined): JsonObject {
    const { promptTokens, completionTokens, cachedTokens } = usage
        ?? { promptTokens: 0, completionTokens: 0, cachedTokens: 0 };
    return {
        prompt_tokens: promptTokens,
        completion_tokens: completionTokens,
        total_tokens: promptTokens + completionTokens,
        prompt_tokens_details: { cached_tokens: cachedTokens },
    };
}

function mergeToolCalls(toolCalls: JsonObject[], deltas: unknown): void {
    if (!Array.isArray(deltas)) {
        return;
    }
    (deltas as JsonObject[]).forEach(({ index, ...delta }) => {
        const position = Number(index ?? 0);
        const existing = toolCalls[position];
        toolCalls[position] = existing === undefined ? delta : appendToolCall(existing, delta);
    });
}

function appendToolCall(existing: JsonObject, delta: JsonObject): JsonObject {
    const existingFunction = (existing.function ?? {}) as JsonObject;
    const deltaFunction = (delta.function ?? {}) as JsonObject;
    const argumentText = `${stringOf(existingFunction.arguments) ?? ""}${stringOf(deltaFunction.arguments) ?? ""}`;
    return { ...existing, function: { ...existingFunction, arguments: argumentText } };
}

function mergeLogProbabilities(parts: unknown[]): JsonObject | null {
    if (parts.length === 0) {
        return null;
    }
    return (parts as JsonObject[]).reduce<JsonObject>(
        (merged, part) => ({
            ...merged,
            ...Object.fromEntries(
                Object.entries(part).map(([field, value]) => {
                    const earlier = merged[field];
                    return [field, Array.isArray(earlier) && Array.isArray(value) ? [...earlier, ...value] : value];
                }),
            ),
        }),
        {},
    );
}

function stringOf(value: unknown): string | undefined {
    return typeof value === "string" ? value : undefined;
}
