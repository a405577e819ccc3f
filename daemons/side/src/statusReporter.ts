import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { SideStatus } from "@knapweedwood/daemons.inference/sideStatus";
import { sideStatusNotification } from "@knapweedwood/daemons.inference/sideStatusNotification";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";

const CHECK_INTERVAL_MS = 50;
const REPEAT_INTERVAL_MS = 1000;

/** Sends this side's status to the entries linked to it, on each change and once a second. */
export class StatusReporter {
    private readonly opts: { endpoint: LinkEndpoint; clock: Clock; status: () => SideStatus; };
    private readonly stopping = new AbortController();
    private running: Promise<void> = Promise.resolve();
    private lastSentJson = "";
    private lastSentAtMs = 0;

    constructor(opts: StatusReporter["opts"]) {
        this.opts = opts;
    }

    start(): void {
        this.running = this.run();
    }

    async stop(): Promise<void> {
        this.stopping.abort();
        await this.running;
    }

    /** Sends the status to all linked entries immediately. */
    send(): void {
        const status = this.opts.status();
        this.lastSentJson = JSON.stringify(status);
        this.lastSentAtMs = this.opts.clock.nowMs();
        this.opts.endpoint.links()
            .filter(link => link.peer?.kind === "entry")
            .forEach(link => link.notify(sideStatusNotification, status));
    }

    private async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await sleep(this.opts.clock, CHECK_INTERVAL_MS, this.stopping.signal);
            if (this.isDue()) {
                this.send();
            }
        }
    }

    private isDue(): boolean {
        const isRepeatDue = this.opts.clock.nowMs() - this.lastSentAtMs >= REPEAT_INTERVAL_MS;
        return isRepeatDue || JSON.stringify(this.opts.status()) !== this.lastSentJson;
    }
}
