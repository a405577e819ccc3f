import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { GenerateCallRequest } from "./generateCallRequest.js";

/** Generates text at a side's upstream. */
export const generateCall = defineCall<GenerateCallRequest, GenerateEvent>("inference.generate");
