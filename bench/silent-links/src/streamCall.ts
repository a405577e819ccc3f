import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { StreamFrame } from "./streamFrame.js";
import type { StreamRequest } from "./streamRequest.js";

/** Requests a stream of numbered frames at a fixed interval. */
export const streamCall = defineCall<StreamRequest, StreamFrame>("bench.stream");
