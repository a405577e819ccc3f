import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Reads the streamed body of a plain call, in parts. Sent by a side to the entry of the caller. */
export const readBodyCall = defineCall<{ bodyId: string; }, { bytes: Uint8Array; }>("inference.read-body");
