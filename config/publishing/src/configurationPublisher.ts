import { checkConfiguration } from "@knapweedwood/config.configuration/checkConfiguration";
import type { ConfigurationView } from "@knapweedwood/config.configuration/configurationView";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { Revision } from "@knapweedwood/core.ids/revision";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { ConfigurationChange } from "./configurationChange.js";
import { ConfigurationStore } from "./configurationStore.js";
import { ConfigurationTree } from "./configurationTree.js";
import { differenceOf } from "./differenceOf.js";
import { GroupIndex } from "./groupIndex.js";
import type { HistoryEntry } from "./historyEntry.js";
import type { LoadedConfiguration } from "./loadedConfiguration.js";
import { PublishConflict } from "./publishConflict.js";
import type { PublishRequest } from "./publishRequest.js";
import type { PublishResult } from "./publishResult.js";
import type { RecordDifference } from "./recordDifference.js";
import type { TreeChange } from "./treeChange.js";
import { TreeConfigurationView } from "./treeConfigurationView.js";

const MAX_SWAP_ATTEMPTS = 50;
const RETRY_DELAY_MS = 20;
const CONFIRM_DELAY_MS = 200;
const CONFIRM_TIMEOUT_MS = 10_000;
const MAX_CHANGES_PER_HISTORY_ENTRY = 50;
const DEFAULT_HISTORY_LIMIT = 50;
const FIRST_REVISION = 1 as Revision;
const INVALID_STATUS_CODE = 400;
const UNAVAILABLE_STATUS_CODE = 503;

/**
 * Publishes configurations: checks them, merges them with concurrent publishes and swaps the root. If the response of a
 * swap is lost, repeats the swap and reads the audit record to find out whether it took effect.
 */
export class ConfigurationPublisher {
    private readonly clock: Clock;
    private readonly createChangeId: () => string;
    private readonly store: ConfigurationStore;

    /** @param opts.createChangeId returns an id that no other publish has, such as a random UUID */
    constructor(opts: { keyValue: KeyValueService; clock: Clock; createChangeId: () => string; }) {
        this.clock = opts.clock;
        this.createChangeId = opts.createChangeId;
        this.store = new ConfigurationStore(opts);
    }

    /** Returns the newest configuration in the key-value service, or undefined before the first publish. */
    async current(): Promise<ConfigurationView | undefined> {
        const loaded = await this.store.load();
        return loaded.root === undefined ? undefined : new TreeConfigurationView(loaded.root, loaded.tree);
    }

    /**
     * Publishes changes as one new revision. Writes nothing if it is a dry run or if no record would change.
     *
     * Rejects with:
     * - `PublishConflict` if another publish changed one of the records since `baseRevision`, or since the call began
     *   if there is no `baseRevision`
     * - `CONFIGURATION_INVALID` if the result breaks a rule
     * - `PUBLISH_CONTENDED` if other publishes swap the root first at every attempt
     * - `PUBLISH_UNKNOWN` with outcome `unknown` if a response was lost and the key-value service stays unavailable
     */
    async publish(request: PublishRequest): Promise<PublishResult> {
        let baseTree: ConfigurationTree | undefined;
        const changeId = this.createChangeId();
        for (let attempt = 0; attempt < MAX_SWAP_ATTEMPTS; attempt += 1) {
            const loaded = await this.store.load();
            baseTree ??= await this.loadBaseTree(request, loaded);
            const planned = planChanges(request.changes, loaded);
            const conflicts = conflictsOf(planned.difference, baseTree, loaded.tree);
            if (conflicts.length > 0) {
                throw new PublishConflict(conflicts);
            }
            checkTree(planned.change.tree);
            if (request.dryRun === true || planned.difference.length === 0) {
                return resultOf(loaded.root, planned.difference, false);
            }
            const history = this.createHistoryEntry({ request, changeId, ...planned });
            if (await this.swapAndConfirm({ modRevision: loaded.modRevision, change: planned.change, history })) {
                return resultOf(history.root, planned.difference, true);
            }
            await sleep(this.clock, RETRY_DELAY_MS);
        }
        throw new KnapweedError(
            "PUBLISH_CONTENDED",
            "Concurrent publishes changed the configuration first at every attempt",
            {
                outcome: "not-run",
                statusCode: UNAVAILABLE_STATUS_CODE,
            },
        );
    }

    /**
     * Publishes the records of an earlier revision as a new, higher revision. Rejects as `publish` does, and with
     * `REVISION_NOT_FOUND` if the revision is no longer stored.
     */
    async rollback(opts: { revision: Revision; actor: string; dryRun?: boolean; }): Promise<PublishResult> {
        const target = await this.store.loadRevision(opts.revision);
        const loaded = await this.store.load();
        return this.publish({
            actor: opts.actor,
            message: `rollback to ${String(opts.revision)}`,
            changes: differenceOf(loaded.tree, target).map(toChange),
            ...(loaded.root === undefined ? {} : { baseRevision: loaded.root.revision }),
            ...(opts.dryRun === undefined ? {} : { dryRun: opts.dryRun }),
        });
    }

    /** Returns the audit records, newest first, shape [0..limit]. */
    async history(opts: { limit?: number; } = {}): Promise<HistoryEntry[]> {
        const { root } = await this.store.load();
        return root === undefined
            ? []
            : this.store.history({ newest: root.revision, limit: opts.limit ?? DEFAULT_HISTORY_LIMIT });
    }

    /** Returns the records that differ between two revisions. Rejects with `REVISION_NOT_FOUND` if one isn't stored. */
    async difference(from: Revision, to: Revision): Promise<RecordDifference[]> {
        return differenceOf(await this.store.loadRevision(from), await this.store.loadRevision(to));
    }

    private async loadBaseTree(request: PublishRequest, loaded: LoadedConfiguration): Promise<ConfigurationTree> {
        return request.baseRevision === undefined || request.baseRevision === loaded.root?.revision
            ? loaded.tree
            : this.store.loadRevision(request.baseRevision);
    }

    private createHistoryEntry(
        opts: {
            request: PublishRequest;
            changeId: string;
            change: TreeChange;
            difference: RecordDifference[];
            revision: Revision;
        },
    ): HistoryEntry {
        return {
            root: {
                revision: opts.revision,
                digest: opts.change.tree.digest(),
                changeId: opts.changeId,
                publishedAtMs: Math.round(this.clock.nowMs()),
                groups: opts.change.tree.groupReferences(),
            },
            actor: opts.request.actor,
            message: opts.request.message ?? "",
            changes: opts.difference
                .slice(0, MAX_CHANGES_PER_HISTORY_ENTRY)
                .map(changed => ({ recordKey: changed.recordKey, kind: changed.kind })),
            changeCount: opts.difference.length,
            replaced: opts.change.replaced,
        };
    }

    /** Swaps the root. If the response is lost, finds out whether the swap took effect. */
    private async swapAndConfirm(
        opts: { modRevision: number; change: TreeChange; history: HistoryEntry; },
    ): Promise<boolean> {
        try {
            return await this.store.swap(opts);
        }
        catch (thrown) {
            if (!(thrown instanceof KnapweedError) || thrown.outcome !== "unknown") {
                throw thrown;
            }
            return this.confirmSwap(opts);
        }
    }

    /**
     * Repeats the swap with the same change id until a response arrives. If the root has already changed, the audit
     * record of the revision shows whether this publish changed it. Rejects with `PUBLISH_UNKNOWN` if no response
     * arrives within `CONFIRM_TIMEOUT_MS`.
     */
    private async confirmSwap(
        opts: { modRevision: number; change: TreeChange; history: HistoryEntry; },
    ): Promise<boolean> {
        const { root } = opts.history;
        const deadlineMs = this.clock.nowMs() + CONFIRM_TIMEOUT_MS;
        while (this.clock.nowMs() < deadlineMs) {
            await sleep(this.clock, CONFIRM_DELAY_MS);
            const isSwapped = await this.tryConfirmSwap(opts);
            if (isSwapped !== undefined) {
                return isSwapped;
            }
        }
        throw new KnapweedError(
            "PUBLISH_UNKNOWN",
            `The response was lost, so revision ${String(root.revision)} may or may not have been published`,
            {
                outcome: "unknown",
                statusCode: UNAVAILABLE_STATUS_CODE,
                hint: `Look for change ${root.changeId} in the history once the key-value service is available again.`,
            },
        );
    }

    /** Returns whether the swap took effect, or undefined if that is still unknown. */
    private async tryConfirmSwap(
        opts: { modRevision: number; change: TreeChange; history: HistoryEntry; },
    ): Promise<boolean | undefined> {
        try {
            if (await this.store.swap(opts)) {
                return true;
            }
            const entry = await this.store.historyEntry(opts.history.root.revision);
            return entry?.root.changeId === opts.history.root.changeId;
        }
        catch {
            return undefined;
        }
    }
}

function planChanges(
    changes: ConfigurationChange[],
    loaded: LoadedConfiguration,
): { change: TreeChange; difference: RecordDifference[]; revision: Revision; } {
    const revision = loaded.root === undefined ? FIRST_REVISION : (loaded.root.revision + 1) as Revision;
    const change = loaded.tree.apply(changes, revision);
    return { change, difference: differenceOf(loaded.tree, change.tree), revision };
}

/**
 * Returns the changes that others made to records which this publish changes too. A record that already has the
 * requested content is no conflict.
 */
function conflictsOf(
    requested: RecordDifference[],
    baseTree: ConfigurationTree,
    current: ConfigurationTree,
): RecordDifference[] {
    const touched = new Set(requested.map(difference => difference.recordKey));
    return differenceOf(baseTree, current).filter(difference => touched.has(difference.recordKey));
}

function checkTree(tree: ConfigurationTree): void {
    const indexes = tree.groups.map(group => GroupIndex.of(group));
    const problems = checkConfiguration({
        services: indexes.flatMap(index => index.services),
        teams: indexes.flatMap(index => [...index.teams.values()]),
    });
    const [first] = problems;
    if (first !== undefined) {
        const lines = problems.map(problem => `${problem.recordKey} ${problem.path.join(".")}: ${problem.message}`);
        throw new KnapweedError("CONFIGURATION_INVALID", lines.join("\n"), {
            outcome: "not-run",
            statusCode: INVALID_STATUS_CODE,
            parameter: `${first.recordKey}.${first.path.join(".")}`,
        });
    }
}

function toChange(difference: RecordDifference): ConfigurationChange {
    return difference.after === undefined
        ? { kind: "remove", recordKey: difference.recordKey }
        : { kind: "put", record: difference.after };
}

function resultOf(
    root: HistoryEntry["root"] | undefined,
    difference: RecordDifference[],
    published: boolean,
): PublishResult {
    return {
        revision: root?.revision ?? (0 as Revision),
        digest: root?.digest ?? "",
        difference,
        published,
    };
}
