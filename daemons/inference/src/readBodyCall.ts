import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** A side asks the entry for the body of a plain call that is streamed, in parts. */
export const readBodyCall = defineCall<{ bodyId: string; }, { bytes: Uint8Array; }>("inference.read-body");
