import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { StreamFrame } from "./streamFrame.js";
import type { StreamRequest } from "./streamRequest.js";

/** Streams numbered frames at an even pace. */
export const streamCall = defineCall<StreamRequest, StreamFrame>("bench.stream");
