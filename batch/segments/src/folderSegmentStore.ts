import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import { mkdir, open, readdir, readFile, rename, rm, stat } from "node:fs/promises";
import path from "node:path";
import { segmentNotFoundError } from "./segmentNotFoundError.js";
import type { SegmentStore } from "./segmentStore.js";
import { verifySegment } from "./verifySegment.js";

const MAX_SEGMENT_BYTES = 4_000_000;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/u;
const PARTIAL_SUFFIX = ".partial";

/**
 * Stores segments as files in a data folder and syncs them before acknowledging them. Files that an earlier instance
 * left in the same folder are served too, because each read is checked against the digest.
 */
export class FolderSegmentStore implements SegmentStore {
    readonly maxSegmentBytes = MAX_SEGMENT_BYTES;
    readonly copyCount = 1;
    private readonly folder: string;
    private partialCount = 0;

    constructor(opts: { dataFolder: string; }) {
        this.folder = path.join(opts.dataFolder, "segments");
    }

    /** Creates the folder and removes files that an earlier instance did not finish writing. */
    async prepare(): Promise<void> {
        await this.createFolder(this.folder);
        const names = await readdir(this.folder, { recursive: true });
        await Promise.all(
            names.filter(name => name.endsWith(PARTIAL_SUFFIX)).map(name => rm(path.join(this.folder, name))),
        );
    }

    async put(bytes: Uint8Array): Promise<SegmentDigest> {
        const digest = digestOf(bytes);
        const file = this.pathOf(digest);
        const partial = `${file}.${process.pid}.${this.partialCount++}${PARTIAL_SUFFIX}`;
        try {
            await this.createFolder(path.dirname(file));
            await writeSynced(partial, bytes);
            await rename(partial, file);
            await syncFolder(path.dirname(file));
        }
        catch (error) {
            await rm(partial, { force: true }).catch(() => undefined);
            throw new KnapweedError("SEGMENT_NOT_KEPT", `Segment ${digest} could not be written`, {
                cause: error,
                hint: "Check the free space of the data folder",
                statusCode: 503,
            });
        }
        return digest;
    }

    /** Returns the segment. Removes a copy that does not match its digest, so that a repair replaces it. */
    async get(digest: SegmentDigest): Promise<Uint8Array> {
        const bytes = await readFile(this.pathOf(digest)).catch(() => {
            throw segmentNotFoundError(digest);
        });
        try {
            return verifySegment(digest, bytes);
        }
        catch (error) {
            await this.remove(digest);
            throw error;
        }
    }

    async remove(digest: SegmentDigest): Promise<void> {
        await rm(this.pathOf(digest), { force: true });
    }

    async repair(digest: SegmentDigest): Promise<number> {
        return await this.get(digest).then(() => 1, () => 0);
    }

    /**
     * Removes segments that are not in `referenced` and were written before `beforeMs`, in milliseconds since the Unix
     * epoch.
     *
     * @returns the number of segments removed
     */
    async removeUnreferenced(referenced: ReadonlySet<SegmentDigest>, beforeMs: number): Promise<number> {
        const digests = await this.list();
        let removedCount = 0;
        for (const digest of digests.filter(candidate => !referenced.has(candidate))) {
            const stats = await stat(this.pathOf(digest)).catch(() => undefined);
            if (stats !== undefined && stats.mtimeMs < beforeMs) {
                await this.remove(digest);
                removedCount += 1;
            }
        }
        return removedCount;
    }

    /** Returns the digests of all segments in the folder, shape [segments]. */
    async list(): Promise<SegmentDigest[]> {
        const names = await readdir(this.folder, { recursive: true });
        return names.map(name => path.basename(name)).filter(name => DIGEST_PATTERN.test(name)) as SegmentDigest[];
    }

    /** Creates a folder and syncs the parent of each new folder, because a new folder is durable only after that. */
    private async createFolder(folder: string): Promise<void> {
        const firstCreated = await mkdir(folder, { recursive: true });
        for (
            let created = folder;
            firstCreated !== undefined && created.length >= firstCreated.length;
            created = path.dirname(created)
        ) {
            await syncFolder(path.dirname(created));
        }
    }

    private pathOf(digest: SegmentDigest): string {
        if (!DIGEST_PATTERN.test(digest)) {
            throw new KnapweedError("SEGMENT_DIGEST_INVALID", "Not a segment digest", { statusCode: 400 });
        }
        return path.join(this.folder, digest.slice(0, 2), digest);
    }
}

async function writeSynced(file: string, bytes: Uint8Array): Promise<void> {
    const handle = await open(file, "w");
    try {
        await handle.writeFile(bytes);
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

async function syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}
