import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";
import type { Link } from "@knapweedwood/links.calls/link";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { DemandShares } from "./demandShares.js";
import type { EntryAddress } from "./entryAddress.js";
import { usageReportNotification } from "./usageReportNotification.js";

interface UsageExchangeOptions {
    endpoint: LinkEndpoint;
    shares: DemandShares;
    clock: Clock;
    /** Time between reports, in milliseconds; must equal that of the shares. */
    reportIntervalMs: number;
    /** Returns the entries that share the limits; shape [entries]. Of each pair, one opens a link to the other. */
    entries: () => readonly EntryAddress[];
}

/** Exchanges demand reports with all entries that share the limits. */
export class UsageExchange {
    private readonly opts: UsageExchangeOptions;
    private readonly openedLinks = new Map<string, Link>();
    private timer: Timer | undefined;

    constructor(opts: UsageExchangeOptions) {
        this.opts = opts;
        opts.endpoint.handleNotification(
            usageReportNotification,
            report => opts.shares.onReport(report, opts.clock.nowMs()),
        );
    }

    /** Starts sending reports, the first after one interval. */
    start(): void {
        this.timer = this.opts.clock.setTimer(this.opts.reportIntervalMs, () => {
            this.updateLinks();
            this.sendReport();
            this.start();
        });
    }

    /** Stops sending reports. Links stay open, and reports of other entries are still recorded. */
    stop(): void {
        this.timer?.cancel();
    }

    private updateLinks(): void {
        const { endpoint, entries } = this.opts;
        const addresses = entries()
            .filter(entry => entry.instanceId < endpoint.identity.instanceId)
            .map(entry => entry.address);
        addresses.forEach(address => this.openedLinks.set(address, endpoint.connect(address)));
        [...this.openedLinks]
            .filter(([address, link]) => !addresses.includes(address) && link.state !== "open")
            .forEach(([address, link]) => {
                link.close();
                this.openedLinks.delete(address);
            });
    }

    /** Sends each entry one report, even if links exist in both directions. */
    private sendReport(): void {
        const { endpoint, shares, clock } = this.opts;
        const report = shares.report(clock.nowMs());
        const links = endpoint.links().filter(link => link.peer?.kind === "entry");
        const linkByPeer = new Map(links.map(link => [link.peer!.instanceId, link]));
        linkByPeer.forEach(link => link.notify(usageReportNotification, report));
    }
}
