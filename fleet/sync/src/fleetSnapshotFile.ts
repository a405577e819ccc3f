import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import { Packr } from "msgpackr";
import { open, readFile, rename } from "node:fs/promises";
import path from "node:path";
import type { FleetSnapshot } from "./fleetSnapshot.js";

const FILE_NAME = "fleet-snapshot";

interface StoredSnapshot {
    digest: string;
    bytes: Uint8Array;
}

/** The last snapshot of the fleet, on the disk of an instance. */
export class FleetSnapshotFile {
    private readonly file: string;
    private readonly packr = new Packr({ useRecords: false });

    constructor(opts: { dataFolder: string; }) {
        this.file = path.join(opts.dataFolder, FILE_NAME);
    }

    /** Returns the stored snapshot; undefined if there is none or it is damaged. */
    async read(): Promise<FleetSnapshot | undefined> {
        try {
            const { digest, bytes } = this.packr.unpack(await readFile(this.file)) as StoredSnapshot;
            return digestOf(bytes) === digest ? this.packr.unpack(bytes) as FleetSnapshot : undefined;
        }
        catch {
            return undefined;
        }
    }

    /** Replaces the stored snapshot. Rejects if it can't be written. */
    async write(snapshot: FleetSnapshot): Promise<void> {
        const bytes = Buffer.from(this.packr.pack(snapshot));
        const partial = `${this.file}.partial`;
        const handle = await open(partial, "w");
        try {
            await handle.writeFile(this.packr.pack({ digest: digestOf(bytes), bytes } satisfies StoredSnapshot));
            await handle.datasync();
        }
        finally {
            await handle.close();
        }
        await rename(partial, this.file);
    }
}
