import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { Usage } from "@knapweedwood/engines.model-engine/usage";
import type { ServerResponse } from "node:http";
import type { SequenceSink } from "./sequenceSink.js";

/**
 * Writes the response to a completion request: token by token if the request asks for a stream, and otherwise at the
 * end.
 */
export class CompletionWriter implements SequenceSink {
    private readonly response: ServerResponse;
    private readonly isChat: boolean;
    private readonly isStreamed: boolean;
    private readonly commonFields: { id: string; created: number; model: string; };
    private readonly chunkStart: string;
    private readonly onFinish: () => void;
    private text: string;

    constructor(opts: {
        response: ServerResponse;
        request: GenerateRequest;
        id: string;
        createdAtSeconds: number;
        onFinish: () => void;
    }) {
        this.response = opts.response;
        this.isChat = opts.request.endpoint === "/v1/chat/completions";
        this.isStreamed = opts.request.body.stream === true;
        this.onFinish = opts.onFinish;
        this.text = opts.request.resumeFrom?.text ?? "";
        this.commonFields = { id: opts.id, created: opts.createdAtSeconds, model: String(opts.request.body.model) };
        this.chunkStart = `data: ${
            JSON.stringify({ ...this.commonFields, object: this.chunkObject }).slice(0, -1)
        },"choices":[{"index":0,`;
        if (this.isStreamed) {
            opts.response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
            opts.response.flushHeaders();
        }
    }

    token(text: string): void {
        if (!this.isStreamed) {
            this.text += text;
            return;
        }
        const content = JSON.stringify(text);
        const part = this.isChat ? `"delta":{"content":${content}}` : `"text":${content}`;
        this.response.write(`${this.chunkStart}${part},"finish_reason":null}]}\n\n`);
    }

    finish(finishReason: string, usage: Usage): void {
        this.onFinish();
        const usageObject = {
            prompt_tokens: usage.promptTokens,
            completion_tokens: usage.completionTokens,
            total_tokens: usage.promptTokens + usage.completionTokens,
            prompt_tokens_details: { cached_tokens: usage.cachedTokens },
        };
        if (this.isStreamed) {
            this.endStream(finishReason, usageObject);
            return;
        }
        const output = this.isChat ? { message: { role: "assistant", content: this.text } } : { text: this.text };
        const object = this.isChat ? "chat.completion" : "text_completion";
        const choices = [{ index: 0, ...output, finish_reason: finishReason }];
        this.response.writeHead(200, { "content-type": "application/json" });
        this.response.end(JSON.stringify({ ...this.commonFields, object, choices, usage: usageObject }));
    }

    private get chunkObject(): string {
        return this.isChat ? "chat.completion.chunk" : "text_completion";
    }

    private endStream(finishReason: string, usageObject: object): void {
        const part = this.isChat ? `"delta":{}` : `"text":""`;
        const usageChunk = { ...this.commonFields, object: this.chunkObject, choices: [], usage: usageObject };
        this.response.end(
            `${this.chunkStart}${part},"finish_reason":${JSON.stringify(finishReason)}}]}\n\n`
                + `data: ${JSON.stringify(usageChunk)}\n\ndata: [DONE]\n\n`,
        );
    }
}
