import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import { decodeConfiguration } from "@knapweedwood/platform.adapter/decodeConfiguration";
import { parseDrainRequestKey } from "@knapweedwood/platform.adapter/parseDrainRequestKey";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import type { ConfigurationSource } from "./configurationSource.js";
import type { FollowerContext } from "./followerContext.js";

interface OperatorsFollowerOptions extends FollowerContext {
    /** Returns the age at which the mirror is checked, in milliseconds. It isn't checked without this. */
    maxAgeMs?: () => number;
    instanceName: InstanceName;
    metrics: Metrics;
    /** Called when a newer configuration has become active. */
    onConfiguration: () => void;
    /** Called when the operators request to drain this instance. May be called more than once. */
    onDrainRequested: () => void;
}

/** Follows the operators' entries: the configuration and drain requests. */
export class OperatorsFollower {
    readonly configuration = new ActiveConfiguration();
    readonly mirror: PrefixMirror;
    private readonly opts: OperatorsFollowerOptions;
    private writtenRevision = 0;
    /** Entry of the active configuration. */
    private activeEntry: KeyValueEntry | undefined;

    constructor(opts: OperatorsFollowerOptions) {
        this.opts = opts;
        this.mirror = new PrefixMirror({
            ...opts,
            prefix: wireKeys.operators,
            // A configuration comes alone and is urgent.
            coalesceMs: () => 0,
            onSnapshot: entries => entries.forEach(entry => this.onEntry(entry)),
            onChange: batch => batch.puts.forEach(entry => this.onEntry(entry)),
        });
    }

    /** Returns the instances that the operators want drained, shape [instances]. */
    drainRequests(): InstanceName[] {
        return this.mirror.entries().flatMap(entry => parseDrainRequestKey(entry.key) ?? []);
    }

    /** Revision of the key-value service at which the latest readable configuration was written; 0 before the first. */
    get configurationRevision(): number {
        return this.writtenRevision;
    }

    /**
     * The entries of the operators, with the active configuration where that came from a peer before the mirror received
     * it, shape [entries].
     */
    entries(): KeyValueEntry[] {
        const others = this.mirror.entries().filter(entry => entry.key !== wireKeys.configuration);
        return this.activeEntry === undefined ? others : [...others, this.activeEntry];
    }

    /** Whether the key-value service may have a newer configuration than this process. */
    get isOutdated(): boolean {
        return !this.mirror.isReachable
            || this.mirror.peersRevision > Math.max(this.mirror.revision, this.writtenRevision);
    }

    /**
     * Makes the configuration among the entries of a peer or of an earlier start the active one if it is newer.
     *
     * @param source where the entries come from, for the log
     * @returns whether the entries contain a newer configuration than was known
     */
    adoptFrom(source: ConfigurationSource, entries: readonly KeyValueEntry[]): boolean {
        const entry = entries.find(({ key }) => key === wireKeys.configuration);
        if (entry === undefined || entry.modRevision <= this.writtenRevision) {
            return false;
        }
        const previousVersion = this.configuration.version;
        if (!this.onConfigurationEntry(entry) || this.configuration.version === previousVersion) {
            return false;
        }
        this.opts.metrics.increment("configurations_adopted_total", { from: source.kind });
        this.opts.logger.info("configuration-adopted", {
            from: source.kind,
            source: source.name,
            version: this.configuration.version,
            previousVersion,
            revision: entry.modRevision,
        });
        return true;
    }

    /**
     * Reads the stored configuration and makes it the active one if it is newer. Rejects with the error of the key-value
     * service.
     *
     * @returns whether the active configuration is certain to be current: false if no readable one is stored, or an older one
     *     than is known
     */
    async refresh(): Promise<boolean> {
        const entry = await this.opts.service.get(wireKeys.configuration);
        return entry !== undefined && this.onConfigurationEntry(entry) && entry.modRevision >= this.writtenRevision;
    }

    private onEntry(entry: KeyValueEntry): void {
        if (entry.key === wireKeys.configuration) {
            this.onConfigurationEntry(entry);
        }
        if (parseDrainRequestKey(entry.key) === this.opts.instanceName) {
            this.opts.onDrainRequested();
        }
    }

    private laterEntry(entry: KeyValueEntry): KeyValueEntry {
        return entry.modRevision >= (this.activeEntry?.modRevision ?? 0) ? entry : this.activeEntry!;
    }

    /** Returns whether the configuration in the entry is readable. */
    private onConfigurationEntry(entry: KeyValueEntry): boolean {
        try {
            const configuration = decodeConfiguration(entry.value);
            this.writtenRevision = Math.max(this.writtenRevision, entry.modRevision);
            const isAdopted = this.configuration.adopt(configuration, this.opts.clock.nowMs());
            if (configuration.version === this.configuration.version) {
                this.activeEntry = this.laterEntry(entry);
            }
            if (isAdopted) {
                this.opts.logger.info("configuration-in-force", {
                    version: configuration.version,
                    routes: configuration.routes.length,
                    revision: entry.modRevision,
                });
                this.opts.onConfiguration();
            }
            return true;
        }
        catch (error) {
            this.opts.logger.error("configuration-unreadable", {
                revision: entry.modRevision,
                message: (error as Error).message,
            });
            return false;
        }
    }
}
