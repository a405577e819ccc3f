import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { InstanceList } from "@knapweedwood/routing.instance-list/instanceList";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

const ANNOUNCE_INTERVAL_MS = 2000;

/** Keeps this instance's record in the instance list by announcing it periodically. */
export class InstanceAnnouncer {
    private readonly opts: { instanceList: InstanceList; clock: Clock; logger: Logger; record: InstanceRecord; };
    private readonly stopping = new AbortController();
    private record: InstanceRecord;
    private loop: Promise<void> = Promise.resolve();

    constructor(opts: InstanceAnnouncer["opts"]) {
        this.opts = opts;
        this.record = opts.record;
    }

    /** Announces this instance and starts repeating the announcement. */
    async start(): Promise<void> {
        await this.announce();
        this.loop = this.run();
    }

    /** Announces that this instance is leaving. */
    async announceLeaving(): Promise<void> {
        this.record = { ...this.record, state: "leaving" };
        await this.announce();
    }

    /** Stops announcing without withdrawing the record, as a crash would. */
    async stopWithoutWithdrawing(): Promise<void> {
        this.stopping.abort();
        await this.loop;
    }

    /** Stops announcing and withdraws the record. */
    async stop(): Promise<void> {
        await this.stopWithoutWithdrawing();
        await this.opts.instanceList.withdraw(this.record.instanceId).catch((error: unknown) => {
            this.opts.logger.debug("instance-list-unavailable", { error: String(error) });
        });
    }

    private async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await sleep(this.opts.clock, ANNOUNCE_INTERVAL_MS, this.stopping.signal);
            if (!this.stopping.signal.aborted) {
                await this.announce();
            }
        }
    }

    private async announce(): Promise<void> {
        await this.opts.instanceList.announce(this.record).catch((error: unknown) => {
            this.opts.logger.warn("instance-list-unavailable", { error: String(error) });
        });
    }
}
