import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { FleetSnapshot } from "@knapweedwood/fleet.sync/fleetSnapshot";
import { fleetSnapshotCall } from "@knapweedwood/fleet.sync/fleetSnapshotCall";
import { mergeSnapshots } from "@knapweedwood/fleet.sync/mergeSnapshots";
import { snapshotRevisionsOf } from "@knapweedwood/fleet.sync/snapshotRevisionsOf";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { Logger } from "@knapweedwood/observability.logs/logger";

/** Time that the key-value service has before the seeds are asked, in milliseconds. */
const KEY_VALUE_WAIT_MS = 400;
const RETRY_INTERVAL_MS = 200;
/** Time between calls once a snapshot is in use, in milliseconds. */
const REPEAT_INTERVAL_MS = 1000;
const CALL_TIMEOUT_MS = 800;

interface SnapshotLoaderOptions {
    endpoint: LinkEndpoint;
    clock: Clock;
    logger: Logger;
    /** Addresses of runners that this process knows without the key-value service, shape [runners]. */
    seeds: readonly HostPort[];
    /** Returns whether the key-value service has answered. */
    isListed: () => boolean;
    /**
     * Uses what is newer in a snapshot, and returns whether anything is.
     *
     * @param source host with the newest configuration
     */
    seed: (source: string, snapshot: FleetSnapshot) => boolean;
}

interface SeedAnswer {
    runner: string;
    snapshot: FleetSnapshot;
}

/**
 * Lets a process that starts during an outage of the key-value service serve callers with what runners know of the
 * fleet. It uses the newest of what all of them know, and asks them until the service has answered.
 */
export class SnapshotLoader {
    private readonly opts: SnapshotLoaderOptions;

    constructor(opts: SnapshotLoaderOptions) {
        this.opts = opts;
    }

    /** Asks the seeds until the key-value service has answered or `signal` is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, seeds, isListed } = this.opts;
        await sleep(clock, KEY_VALUE_WAIT_MS, signal);
        while (seeds.length > 0 && !isListed() && !signal.aborted) {
            const hasAnswer = await this.askSeeds();
            await sleep(clock, hasAnswer ? REPEAT_INTERVAL_MS : RETRY_INTERVAL_MS, signal);
        }
    }

    /**
     * Resolves when all seeds have answered or failed. A snapshot that is used before the others have arrived may contain a
     * withdrawn key.
     *
     * @returns whether a seed knew the fleet
     */
    private async askSeeds(): Promise<boolean> {
        const answers = (await Promise.all(this.opts.seeds.map(seed => this.ask(seed)))).flatMap(one => one ?? []);
        if (answers.length === 0 || this.opts.isListed()) {
            return answers.length > 0;
        }
        const snapshot = answers.map(one => one.snapshot).reduce(mergeSnapshots);
        const { runner } = answers.reduce((left, right) =>
            knownRevisionOf(right) > knownRevisionOf(left) ? right : left
        );
        if (this.opts.seed(runner, snapshot)) {
            this.opts.logger.info("fleet-snapshot-used", { runner, upstreams: snapshot.upstreams.length });
        }
        return true;
    }

    private async ask(seed: HostPort): Promise<SeedAnswer | undefined> {
        try {
            const link = this.opts.endpoint.connect(`${seed.host}:${seed.port}`);
            const { snapshot } = await singleFrame(link.call(fleetSnapshotCall, {}, { timeoutMs: CALL_TIMEOUT_MS }));
            return snapshot === undefined ? undefined : { runner: seed.host, snapshot };
        }
        catch (thrown) {
            this.opts.logger.debug("seed-not-reached", { runner: seed.host, code: toKnapweedError(thrown).code });
            return undefined;
        }
    }
}

function knownRevisionOf({ snapshot }: SeedAnswer): number {
    return snapshotRevisionsOf(snapshot).operators;
}
