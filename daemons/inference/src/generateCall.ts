import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { GenerateCallRequest } from "./generateCallRequest.js";

/** Generates text at a side's upstream. The response is a stream of events. */
export const generateCall = defineCall<GenerateCallRequest, GenerateEvent>("inference.generate");
