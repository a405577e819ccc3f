import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import { promptTextOf } from "@knapweedwood/engines.model-engine/promptTextOf";
import { ServerSentEventReader } from "@knapweedwood/engines.model-engine/serverSentEventReader";
import { Agent, request } from "undici";
import type { CallRecord } from "./callRecord.js";

const OK = 200;
const TOKEN_MARK = '"content":"';
const END_OF_STREAM = "[DONE]";

/** Sends online calls to the entries in turn, as callers' clients do, and records the arrival times of their tokens. */
export class OnlineCaller {
    private readonly opts: { entryUrls: string[]; key: string; };
    private readonly agent = new Agent({ connections: 512, pipelining: 1 });
    private callCount = 0;

    constructor(opts: OnlineCaller["opts"]) {
        this.opts = opts;
    }

    /**
     * Sends one streaming call. Errors are recorded in the result, not thrown.
     *
     * @param dueMs time at which the call was due, by `performance.now()`; latency counts from it
     */
    async call(body: JsonObject, dueMs: number): Promise<CallRecord> {
        this.callCount += 1;
        const promptCharacters = promptTextOf(body).length;
        const tokenTimesMs: number[] = [];
        try {
            const response = await request(
                `${this.opts.entryUrls[this.callCount % this.opts.entryUrls.length]}/v1/chat/completions`,
                {
                    dispatcher: this.agent,
                    method: "POST",
                    headers: { "content-type": "application/json", "authorization": `Bearer ${this.opts.key}` },
                    body: JSON.stringify({ ...body, stream: true }),
                },
            );
            if (response.statusCode !== OK) {
                const text = await response.body.text();
                return {
                    dueMs,
                    promptCharacters,
                    tokenTimesMs,
                    isWhole: false,
                    failure: `${response.statusCode} ${text}`,
                };
            }
            let isWhole = false;
            const reader = new ServerSentEventReader();
            for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
                const events = reader.read(bytes);
                isWhole ||= events.includes(END_OF_STREAM);
                events
                    .filter(data => data.includes(TOKEN_MARK))
                    .forEach(() => tokenTimesMs.push(performance.now()));
            }
            return { dueMs, promptCharacters, tokenTimesMs, isWhole, failure: undefined };
        }
        catch (error) {
            return { dueMs, promptCharacters, tokenTimesMs, isWhole: false, failure: String(error) };
        }
    }

    async close(): Promise<void> {
        await this.agent.destroy();
    }
}
