import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { PlainCallRequest } from "./plainCallRequest.js";
import type { PlainFrame } from "./plainFrame.js";

/** Forwards an HTTP call to the plain service of a side. */
export const plainCall = defineCall<PlainCallRequest, PlainFrame>("inference.plain");
