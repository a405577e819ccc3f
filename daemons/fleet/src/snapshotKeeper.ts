import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { FleetSnapshot } from "@knapweedwood/fleet.sync/fleetSnapshot";
import type { Logger } from "@knapweedwood/observability.logs/logger";

/** Time between checks whether the snapshot has changed, in milliseconds. */
const CHECK_INTERVAL_MS = 1000;

interface SnapshotKeeperOptions {
    clock: Clock;
    logger: Logger;
    /** Returns what this process knows of the fleet; undefined before it knows anything. */
    known: () => FleetSnapshot | undefined;
    file: { read(): Promise<FleetSnapshot | undefined>; write(snapshot: FleetSnapshot): Promise<void>; };
}

/** Keeps what a runner knows of the fleet on its disk, for processes that start during an outage. */
export class SnapshotKeeper {
    private readonly opts: SnapshotKeeperOptions;
    private stored: FleetSnapshot | undefined;
    private storedVersion = "";

    constructor(opts: SnapshotKeeperOptions) {
        this.opts = opts;
    }

    /** What this process knows of the fleet, or what an earlier start of it knew. */
    current(): FleetSnapshot | undefined {
        return this.opts.known() ?? this.stored;
    }

    /** Loads the stored snapshot, then stores changes until `signal` is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        this.stored = await this.opts.file.read();
        while (!signal.aborted) {
            await sleep(this.opts.clock, CHECK_INTERVAL_MS, signal);
            await this.storeIfChanged();
        }
    }

    private async storeIfChanged(): Promise<void> {
        const snapshot = this.opts.known();
        const version = snapshot === undefined ? "" : versionOf(snapshot);
        if (snapshot === undefined || version === this.storedVersion) {
            return;
        }
        try {
            await this.opts.file.write(snapshot);
            this.storedVersion = version;
        }
        catch (error) {
            this.opts.logger.warn("fleet-snapshot-not-stored", { message: (error as Error).message });
        }
    }
}

/** Returns a text that changes with the snapshot. */
function versionOf({ operators, upstreams, fleet }: FleetSnapshot): string {
    return [operators, upstreams, fleet]
        .map(entries => `${entries.length}/${Math.max(0, ...entries.map(entry => entry.modRevision))}`)
        .join(" ");
}
