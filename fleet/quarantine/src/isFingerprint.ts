import type { RequestFingerprint } from "@knapweedwood/core.ids/requestFingerprint";
import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import { FINGERPRINT_PREFIX } from "./fingerprintPrefix.js";

/** Whether a trait is the fingerprint of single requests, and not a part of prompts. */
export function isFingerprint(trait: RequestTraitId): trait is RequestFingerprint {
    return trait.startsWith(FINGERPRINT_PREFIX);
}
