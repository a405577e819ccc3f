import type { Brand } from "./brand.js";

/** Identifies requests that are alike: same caller, method, path and body. Attempts and repeats of a request share it. */
export type RequestFingerprint = Brand<string, "RequestFingerprint">;
