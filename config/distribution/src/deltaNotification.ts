import type { ChunkReference } from "@knapweedwood/config.publishing/chunkReference";
import type { ConfigurationRoot } from "@knapweedwood/config.publishing/configurationRoot";
import { defineNotification } from "@knapweedwood/links.calls/defineNotification";

/** A new revision with the chunks that the previous one lacks. `chunks` is empty if they are too large. */
export const deltaNotification = defineNotification<{
    root: ConfigurationRoot;
    chunks: { reference: ChunkReference; text: string; }[];
}>("configuration.delta");
