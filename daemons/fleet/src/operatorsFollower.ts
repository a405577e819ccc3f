import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import { decodeConfiguration } from "@knapweedwood/platform.adapter/decodeConfiguration";
import { parseDrainRequestKey } from "@knapweedwood/platform.adapter/parseDrainRequestKey";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import type { FollowerContext } from "./followerContext.js";

interface OperatorsFollowerOptions extends FollowerContext {
    instanceName: InstanceName;
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
     * Reads the stored configuration and makes it the active one if it is newer. Rejects with the error of the key-value
     * service.
     *
     * @returns whether the active configuration is certain to be current: false if no readable one is stored
     */
    async refresh(): Promise<boolean> {
        const entry = await this.opts.service.get(wireKeys.configuration);
        return entry !== undefined && this.onConfigurationEntry(entry);
    }

    private onEntry(entry: KeyValueEntry): void {
        if (entry.key === wireKeys.configuration) {
            this.onConfigurationEntry(entry);
        }
        if (parseDrainRequestKey(entry.key) === this.opts.instanceName) {
            this.opts.onDrainRequested();
        }
    }

    /** Returns whether the configuration in the entry is readable. */
    private onConfigurationEntry(entry: KeyValueEntry): boolean {
        try {
            const configuration = decodeConfiguration(entry.value);
            this.writtenRevision = Math.max(this.writtenRevision, entry.modRevision);
            if (this.configuration.adopt(configuration)) {
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
