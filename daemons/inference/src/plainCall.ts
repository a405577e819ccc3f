import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { PlainCallRequest } from "./plainCallRequest.js";
import type { PlainFrame } from "./plainFrame.js";

/** Passes a call to a side's plain service. */
export const plainCall = defineCall<PlainCallRequest, PlainFrame>("inference.plain");
