import * as fileSystem from "node:fs";
import path from "node:path";

const DEBOUNCE_MS = 200;

/**
 * Calls `onChange` after a file in the folder of `file` has changed. Changes in quick succession cause one call. The
 * folder is watched because certificates are usually replaced by a rename.
 *
 * @returns a function that stops watching
 */
export function watchFile(file: string, onChange: () => void): () => void {
    let pending: NodeJS.Timeout | undefined;
    const watcher = fileSystem.watch(path.dirname(file), { persistent: false }, () => {
        clearTimeout(pending);
        pending = setTimeout(onChange, DEBOUNCE_MS);
    });
    return () => {
        clearTimeout(pending);
        watcher.close();
    };
}
