import type { Revision } from "@knapweedwood/core.ids/revision";
import type { ChunkReference } from "./chunkReference.js";

const REVISION_DIGITS = 12;

/** Keys of the configuration in the key-value service. They are global: all regions share them. */
export const configurationKeys = {
    root: "configuration/root",
    historyPrefix: "configuration/history/",
    history: (revision: Revision): string => `configuration/history/${String(revision).padStart(REVISION_DIGITS, "0")}`,
    chunk: (reference: ChunkReference): string => `configuration/chunks/${reference}`,
};
