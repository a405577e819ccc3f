import type { PromptPartId } from "./promptPartId.js";
import type { RequestFingerprint } from "./requestFingerprint.js";

/** Something that requests have in common and that may crash upstreams. */
export type RequestTraitId = PromptPartId | RequestFingerprint;
