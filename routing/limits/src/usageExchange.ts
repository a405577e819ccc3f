import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { DemandShares } from "./demandShares.js";
import { usageReportNotification } from "./usageReportNotification.js";

interface UsageExchangeOptions {
    endpoint: LinkEndpoint;
    shares: DemandShares;
    clock: Clock;
    /** Time between reports, in milliseconds; the same as that of the shares. */
    reportIntervalMs: number;
}

/** Exchanges reports of demand with the entries that this one has links to. */
export class UsageExchange {
    private readonly opts: UsageExchangeOptions;
    private timer: Timer | undefined;

    constructor(opts: UsageExchangeOptions) {
        this.opts = opts;
        opts.endpoint.receive(
            usageReportNotification,
            report => opts.shares.onReport(report, opts.clock.nowMs()),
        );
    }

    start(): void {
        this.timer = this.opts.clock.setTimer(this.opts.reportIntervalMs, () => {
            this.send();
            this.start();
        });
    }

    stop(): void {
        this.timer?.cancel();
    }

    /** An entry linked both ways gets the report once. */
    private send(): void {
        const { endpoint, shares, clock } = this.opts;
        const report = shares.report(clock.nowMs());
        const links = endpoint.links().filter(link => link.peer?.kind === "entry");
        const linkByPeer = new Map(links.map(link => [link.peer!.instanceId, link]));
        linkByPeer.forEach(link => link.notify(usageReportNotification, report));
    }
}
