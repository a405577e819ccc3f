import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { expectedText } from "@knapweedwood/standins.engine/expectedText";

const CALL_INTERVAL_MS = 40;
const MAX_TOKENS = 12;

interface CallResult {
    isAnswered: boolean;
    isCorrect: boolean;
    latencyMs: number;
}

/** Sends online calls to each URL, one at a time per URL, until stopped. Checks the text of each response. */
export class OnlineCaller {
    readonly results: CallResult[] = [];
    private readonly opts: { urls: string[]; key: string; clock: Clock; };
    private readonly stopping = new AbortController();
    private running: Promise<unknown> = Promise.resolve();

    constructor(opts: OnlineCaller["opts"]) {
        this.opts = opts;
    }

    start(): void {
        this.running = Promise.all(this.opts.urls.map((url, index) => this.run(url, index)));
    }

    async stop(): Promise<void> {
        this.stopping.abort();
        await this.running;
    }

    private async run(url: string, caller: number): Promise<void> {
        for (let count = 0; !this.stopping.signal.aborted; count += 1) {
            this.results.push(await this.call(url, `Question ${count} of desk ${caller}`));
            await sleep(this.opts.clock, CALL_INTERVAL_MS, this.stopping.signal);
        }
    }

    private async call(url: string, question: string): Promise<CallResult> {
        const startedMs = this.opts.clock.nowMs();
        const body = {
            model: "demo-chat",
            messages: [{ role: "user", content: question }],
            max_tokens: MAX_TOKENS,
            user: "online",
        };
        const response = await fetch(`${url}/v1/chat/completions`, {
            method: "POST",
            headers: { "authorization": `Bearer ${this.opts.key}`, "content-type": "application/json" },
            body: JSON.stringify(body),
        });
        const text = await contentOf(response);
        const expected = expectedText({ endpoint: "/v1/chat/completions", body, tokenCount: MAX_TOKENS });
        return {
            isAnswered: response.status === 200,
            isCorrect: text === expected,
            latencyMs: this.opts.clock.nowMs() - startedMs,
        };
    }
}

async function contentOf(response: Response): Promise<string | undefined> {
    const parsed = await response.json() as { choices?: { message: { content: string; }; }[]; };
    return parsed.choices?.[0]?.message.content;
}
