import type { LinkLimits } from "./linkLimits.js";

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;

/** Default limits of links. A silent link with calls in progress is detected in about half a second. */
export const defaultLinkLimits: LinkLimits = {
    heartbeatIntervalMs: 100,
    idleHeartbeatIntervalMs: 1000,
    silentAfterMs: 400,
    connectTimeoutMs: 500,
    openTimeoutMs: 1000,
    resumeTimeoutMs: 2500,
    resumeGraceMs: 5000,
    reconnectBaseMs: 25,
    reconnectMaxMs: 2000,
    maxMessageBytes: 64 * MEBIBYTE,
    callWindowBytes: 256 * KIBIBYTE,
    maxUnacknowledgedBytes: 16 * MEBIBYTE,
    maxCalls: 20_000,
};
