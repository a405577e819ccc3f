import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { Revision } from "@knapweedwood/core.ids/revision";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { configurationKeys } from "./configurationKeys.js";
import type { ConfigurationRoot } from "./configurationRoot.js";
import { ConfigurationTree } from "./configurationTree.js";
import type { HistoryEntry } from "./historyEntry.js";
import { KeyValueChunkSource } from "./keyValueChunkSource.js";
import type { LoadedConfiguration } from "./loadedConfiguration.js";
import { loadTree } from "./loadTree.js";
import type { TreeChange } from "./treeChange.js";

const MAX_OPERATIONS_PER_TRANSACTION = 64;
const NOT_FOUND_STATUS_CODE = 404;
/** Number of revisions whose chunks are kept, so that a rollback to them is possible. */
const ROLLBACK_WINDOW_REVISIONS = 1000;
/** Number of revisions whose audit records are kept. */
const HISTORY_WINDOW_REVISIONS = 20_000;

/** Reads and writes the configuration in the key-value service. */
export class ConfigurationStore {
    private readonly keyValue: KeyValueService;
    private readonly source: KeyValueChunkSource;
    private newestTree: ConfigurationTree = ConfigurationTree.empty;

    constructor(opts: { keyValue: KeyValueService; }) {
        this.keyValue = opts.keyValue;
        this.source = new KeyValueChunkSource(opts);
    }

    /** Reads the newest revision. Fetches only the chunks that earlier calls have not fetched. */
    async load(): Promise<LoadedConfiguration> {
        const entry = await this.keyValue.get(configurationKeys.root);
        if (entry === undefined) {
            return { root: undefined, tree: ConfigurationTree.empty, modRevision: 0 };
        }
        const root = decode<ConfigurationRoot>(entry);
        const tree = await loadTree({ root, source: this.source, cached: this.newestTree });
        this.newestTree = tree;
        return { root, tree, modRevision: entry.modRevision };
    }

    /** Reads a revision within the rollback window. Rejects with `REVISION_NOT_FOUND` for other revisions. */
    async loadRevision(revision: Revision): Promise<ConfigurationTree> {
        const entry = await this.historyEntry(revision);
        if (entry === undefined) {
            throw revisionNotFound(revision);
        }
        try {
            return await loadTree({ root: entry.root, source: this.source, cached: this.newestTree });
        }
        catch (thrown) {
            throw thrown instanceof KnapweedError && thrown.code === "ERR_KNAPWEED_CHUNK_NOT_FOUND"
                ? revisionNotFound(revision)
                : thrown;
        }
    }

    /** Returns the audit record of `revision`, or undefined if it is not stored. */
    async historyEntry(revision: Revision): Promise<HistoryEntry | undefined> {
        const entry = await this.keyValue.get(configurationKeys.history(revision));
        return entry === undefined ? undefined : decode<HistoryEntry>(entry);
    }

    /** Returns the audit records up to revision `newest`, newest first, shape [0..limit]. */
    async history(opts: { newest: Revision; limit: number; }): Promise<HistoryEntry[]> {
        const afterKey = configurationKeys.history(Math.max(0, opts.newest - opts.limit) as Revision);
        const entries = await this.keyValue.list(configurationKeys.historyPrefix, { limit: opts.limit, afterKey });
        return entries.map(entry => decode<HistoryEntry>(entry)).reverse();
    }

    /**
     * Swaps the root, writes its chunks and its audit record, and deletes data that leaves the retention windows.
     * Chunks that do not fit into the transaction are written before it.
     *
     * @returns whether the swap took effect, which requires that the root still had `modRevision`
     */
    async swap(opts: { modRevision: number; change: TreeChange; history: HistoryEntry; }): Promise<boolean> {
        const { root } = opts.history;
        const chunks = opts.change.written.map(chunk => put(configurationKeys.chunk(chunk.reference), chunk.text));
        const cleanup = await this.cleanupOperations(root.revision);
        const precedingChunks = chunks.splice(
            0,
            Math.max(0, chunks.length + cleanup.length - MAX_OPERATIONS_PER_TRANSACTION),
        );
        for (let start = 0; start < precedingChunks.length; start += MAX_OPERATIONS_PER_TRANSACTION) {
            await this.keyValue.transact([], precedingChunks.slice(start, start + MAX_OPERATIONS_PER_TRANSACTION));
        }
        const result = await this.keyValue.transact(
            [{ key: configurationKeys.root, modRevision: opts.modRevision }],
            [
                ...chunks,
                ...cleanup.slice(0, MAX_OPERATIONS_PER_TRANSACTION),
                put(configurationKeys.root, JSON.stringify(root)),
                put(configurationKeys.history(root.revision), JSON.stringify(opts.history)),
            ],
        );
        if (result.succeeded) {
            this.newestTree = opts.change.tree;
        }
        return result.succeeded;
    }

    /** Returns the operations that delete data outside the rollback and history windows of `revision`. */
    private async cleanupOperations(revision: Revision): Promise<KeyValueOperation[]> {
        const expired = (revision - ROLLBACK_WINDOW_REVISIONS) as Revision;
        const entry = expired <= 0 ? undefined : await this.historyEntry(expired);
        const oldest = (revision - HISTORY_WINDOW_REVISIONS) as Revision;
        return [
            ...(oldest <= 0 ? [] : [{ kind: "delete" as const, key: configurationKeys.history(oldest) }]),
            ...(entry?.replaced ?? []).map(reference => ({
                kind: "delete" as const,
                key: configurationKeys.chunk(reference),
            })),
        ];
    }
}

function decode<Value>(entry: KeyValueEntry): Value {
    return JSON.parse(new TextDecoder().decode(entry.value)) as Value;
}

function put(key: string, text: string): KeyValueOperation {
    return { kind: "put", key, value: new TextEncoder().encode(text) };
}

function revisionNotFound(revision: Revision): KnapweedError {
    return new KnapweedError("REVISION_NOT_FOUND", `Revision ${String(revision)} is not stored`, {
        outcome: "not-run",
        statusCode: NOT_FOUND_STATUS_CODE,
        hint: "`knapweed config history` lists the stored revisions.",
    });
}
