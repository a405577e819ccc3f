import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { FleetSnapshot } from "@knapweedwood/fleet.sync/fleetSnapshot";
import { fleetSnapshotCall } from "@knapweedwood/fleet.sync/fleetSnapshotCall";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { Logger } from "@knapweedwood/observability.logs/logger";

/** Time that the key-value service has before the seeds are asked, in milliseconds. */
const KEY_VALUE_WAIT_MS = 400;
const RETRY_INTERVAL_MS = 200;
const CALL_TIMEOUT_MS = 800;

interface SnapshotLoaderOptions {
    endpoint: LinkEndpoint;
    clock: Clock;
    logger: Logger;
    /** Addresses of runners that this process knows without the key-value service, shape [runners]. */
    seeds: readonly HostPort[];
    isInitialized: () => boolean;
    seed: (snapshot: FleetSnapshot) => void;
}

/**
 * Lets a process that starts during an outage of the key-value service serve callers with what runners know of the
 * fleet. It asks them only while the service doesn't answer.
 */
export class SnapshotLoader {
    private readonly opts: SnapshotLoaderOptions;

    constructor(opts: SnapshotLoaderOptions) {
        this.opts = opts;
    }

    /** Asks the seeds until the process is initialized or `signal` is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, seeds, isInitialized } = this.opts;
        await sleep(clock, KEY_VALUE_WAIT_MS, signal);
        while (seeds.length > 0 && !isInitialized() && !signal.aborted) {
            await this.askSeeds();
            await sleep(clock, RETRY_INTERVAL_MS, signal);
        }
    }

    /** Resolves when all seeds have answered or failed. Uses the first snapshot at once. */
    private async askSeeds(): Promise<void> {
        await Promise.all(this.opts.seeds.map(async seed => {
            const snapshot = await this.ask(seed);
            if (snapshot !== undefined && !this.opts.isInitialized()) {
                this.opts.seed(snapshot);
                this.opts.logger.info("fleet-snapshot-used", {
                    runner: seed.host,
                    upstreams: snapshot.upstreams.length,
                });
            }
        }));
    }

    private async ask(seed: HostPort): Promise<FleetSnapshot | undefined> {
        try {
            const link = this.opts.endpoint.connect(`${seed.host}:${seed.port}`);
            return (await singleFrame(link.call(fleetSnapshotCall, {}, { timeoutMs: CALL_TIMEOUT_MS }))).snapshot;
        }
        catch (thrown) {
            this.opts.logger.debug("seed-not-reached", { runner: seed.host, code: toKnapweedError(thrown).code });
            return undefined;
        }
    }
}
