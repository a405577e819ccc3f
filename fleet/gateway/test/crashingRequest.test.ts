// A request without prompt parts came again and again and ended all upstreams of its service each time, since each arrival
// counted as a new request and was repeated at the next upstream.
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";
import { UpstreamStandin } from "./upstreamStandin.js";

const UPSTREAMS = 3;
const ARRIVALS = 8;
/** From the rule: three ends, and three more retries. */
const MAX_CRASHES = 6;
const RESPONSE_DELAY_MS = 10;
const OTHER_HOST = "other.example";
const BAD = "bad";

/** Upstreams that end while they run the bad request of the first caller, and are started again at once. */
class CrashingService {
    readonly clock = new SystemClock();
    readonly testBed = new GatewayTestBed({ upstreams: [], route: { maxAttempts: UPSTREAMS }, otherHost: OTHER_HOST });
    /** Number of runs that ended their upstream. */
    crashes = 0;
    private standins: UpstreamStandin[] = [];
    private starts = 0;
    private starting: Promise<void>[] = [];
    private sent = 0;

    async start(): Promise<void> {
        await this.testBed.listen();
        await Promise.all(Array.from({ length: UPSTREAMS }, (_, index) => this.startUpstream(`u-${index}`)));
    }

    /** Sends a request and resolves to the status of its response. */
    async send(body: string, headers: { [name: string]: string; } = {}): Promise<number> {
        this.sent += 1;
        const received = await this.testBed.send({ body, headers: { "x-request-id": `id-${this.sent}`, ...headers } });
        return received.statusCode;
    }

    /** Resolves once all upstreams that ended have been started again. */
    async whenStarted(): Promise<void> {
        await Promise.all(this.starting.splice(0));
    }

    close(): void {
        this.testBed.close();
        this.standins.forEach(standin => standin.close());
    }

    private async startUpstream(id: string): Promise<void> {
        const standin: UpstreamStandin = new UpstreamStandin((request, response) => {
            const { body } = standin.requests.at(-1)!;
            this.clock.setTimer(RESPONSE_DELAY_MS, () => {
                if (request.headers.host !== OTHER_HOST && body === BAD && standin.isListening) {
                    this.crashes += 1;
                    standin.close();
                    this.starting.push(this.startUpstream(id));
                    return;
                }
                response.writeHead(200, { "x-proof": "p" });
                response.end("a");
            });
        });
        this.standins.push(standin);
        this.starts += 1;
        const upstream = await standin.listen(id);
        this.testBed.directory.put({ ...upstream, startedAtMs: this.starts }, this.clock.nowMs());
    }
}

test("a request that crashes upstreams is rejected when it comes again, and sound ones with its path are served", async () => {
    const service = new CrashingService();
    await service.start();
    const crashing: number[] = [];
    const sound: number[] = [];
    const sendSound = async (index: number) => {
        sound.push(
            await service.send(`sound-${index}`),
            await service.send("poll"),
            await service.send(BAD, { host: OTHER_HOST }),
        );
    };
    await sendSound(-1);
    for (let index = 0; index < ARRIVALS; index += 1) {
        // A request asked for again and again is cut along with the bad one.
        const polls = Array.from({ length: UPSTREAMS }, () => service.send("poll"));
        crashing.push(await service.send(BAD));
        await Promise.all(polls);
        await service.whenStarted();
        await sendSound(index);
    }
    service.close();
    assert.ok(service.crashes <= MAX_CRASHES, `${service.crashes} upstreams ended`);
    assert.deepEqual(crashing.slice(-5), [503, 503, 503, 503, 503]);
    assert.deepEqual(sound, sound.map(() => 200));
});
