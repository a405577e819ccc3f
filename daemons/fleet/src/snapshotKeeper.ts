import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { FleetSnapshot } from "@knapweedwood/fleet.sync/fleetSnapshot";
import { mergeSnapshots } from "@knapweedwood/fleet.sync/mergeSnapshots";
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

    /** The newest of what this process knows of the fleet and what an earlier start of it knew. */
    current(): FleetSnapshot | undefined {
        const known = this.opts.known();
        return known === undefined || this.stored === undefined
            ? known ?? this.stored
            : mergeSnapshots(this.stored, known);
    }

    /** Loads and returns the snapshot that an earlier start has stored. Called before anything is known otherwise. */
    async load(): Promise<FleetSnapshot | undefined> {
        this.stored = await this.opts.file.read();
        this.storedVersion = this.stored === undefined ? "" : versionOf(this.stored);
        return this.stored;
    }

    /** Stores changes until `signal` is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await sleep(this.opts.clock, CHECK_INTERVAL_MS, signal);
            await this.storeIfChanged();
        }
    }

    private async storeIfChanged(): Promise<void> {
        const snapshot = this.current();
        const version = snapshot === undefined ? "" : versionOf(snapshot);
        if (snapshot === undefined || version === this.storedVersion) {
            return;
        }
        try {
            await this.opts.file.write(snapshot);
            this.stored = snapshot;
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
