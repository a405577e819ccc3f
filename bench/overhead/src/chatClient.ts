import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { Agent, type Dispatcher, request } from "undici";
import type { ChatTarget } from "./chatTarget.js";

const OK_STATUS = 200;
const TOKEN_MARK = '"content":';

/** Requests chat completions from one target, from its servers in turn. */
export class ChatClient {
    private readonly target: ChatTarget;
    private readonly model: string;
    private readonly agent = new Agent({ connections: 512, pipelining: 1 });
    private requestCount = 0;

    constructor(opts: { target: ChatTarget; model: string; }) {
        this.target = opts.target;
        this.model = opts.model;
    }

    /** Requests a completion without streaming. Throws `BENCH_CALL_FAILED` unless the status is 200. */
    async complete(maxTokens: number): Promise<void> {
        const response = await this.post({ max_tokens: maxTokens });
        await response.body.text();
    }

    /**
     * Requests a streamed completion. Throws `BENCH_CALL_FAILED` unless the status is 200.
     *
     * @param onFirstToken called when the first token arrives
     * @returns number of received tokens
     */
    async stream(maxTokens: number, onFirstToken: () => void = () => undefined): Promise<number> {
        const response = await this.post({ max_tokens: maxTokens, stream: true });
        let tokens = 0;
        for await (const chunk of response.body as AsyncIterable<Buffer>) {
            const arrived = countOf(chunk.toString("latin1"), TOKEN_MARK);
            if (tokens === 0 && arrived > 0) {
                onFirstToken();
            }
            tokens += arrived;
        }
        return tokens;
    }

    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async post(fields: object): Promise<Dispatcher.ResponseData> {
        const { baseUrls, key } = this.target;
        this.requestCount += 1;
        const response = await request(`${baseUrls[this.requestCount % baseUrls.length]}/v1/chat/completions`, {
            dispatcher: this.agent,
            method: "POST",
            headers: {
                "content-type": "application/json",
                ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
            },
            body: JSON.stringify({
                model: this.model,
                messages: [{ role: "user", content: `Summarise the note of cask ${this.requestCount}.` }],
                ...fields,
            }),
        });
        if (response.statusCode !== OK_STATUS) {
            throw new KnapweedError(
                "BENCH_CALL_FAILED",
                `Status ${response.statusCode}: ${await response.body.text()}`,
            );
        }
        return response;
    }
}

function countOf(text: string, mark: string): number {
    let count = 0;
    for (let index = text.indexOf(mark); index >= 0; index = text.indexOf(mark, index + mark.length)) {
        count += 1;
    }
    return count;
}
