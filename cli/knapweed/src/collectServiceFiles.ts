import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { readdir, readFile } from "node:fs/promises";
import path from "node:path";

const FILE_NAME = "knapweed.yaml";
const SKIPPED_FOLDERS = new Set(["node_modules", ".git", "dist"]);

/**
 * Finds and reads every `knapweed.yaml` under the folders, except in `node_modules`, `.git` and `dist`. Rejects with
 * `SERVICE_FILES_MISSING` if there is none.
 *
 * @returns the files, sorted by path, shape [files]
 */
export async function collectServiceFiles(folders: string[]): Promise<{ path: string; text: string; }[]> {
    const found = (await Promise.all(folders.map(findFiles))).flat();
    if (found.length === 0) {
        throw new KnapweedError("SERVICE_FILES_MISSING", `No ${FILE_NAME} found under ${folders.join(", ")}`);
    }
    return Promise.all(found.sort().map(async file => ({ path: file, text: await readFile(file, "utf8") })));
}

async function findFiles(folder: string): Promise<string[]> {
    const entries = await readdir(folder, { withFileTypes: true });
    const nested = await Promise.all(
        entries
            .filter(entry => entry.isDirectory() && !SKIPPED_FOLDERS.has(entry.name))
            .map(entry => findFiles(path.join(folder, entry.name))),
    );
    const own = entries.filter(entry => entry.isFile() && entry.name === FILE_NAME);
    return [...own.map(entry => path.join(folder, entry.name)), ...nested.flat()];
}
