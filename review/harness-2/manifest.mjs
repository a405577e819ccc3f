// The manifest of the cases: streams, calls that may run once, calls that may be repeated, and batch jobs.

export const HOST = "ficu95.example";
export const MODEL = "vintner-lm";
export const LEDGER = "ledger-app";
export const BATCH_PATH = "/lots/";

/** @param overrides fields of routes by name, and `version` */
export function createManifest(overrides = {}) {
    const routes = [
        {
            name: "summary",
            prefix: "/summary/",
            routeKind: "stream",
            service: MODEL,
            timeoutMs: 5000,
            sloMs: 300,
            maxAttempts: 1,
            priority: 0,
            allowResume: false,
            gapTargetMs: 250,
            affinity: true,
        },
        {
            name: "offer",
            prefix: "/offer/",
            routeKind: "stream",
            service: MODEL,
            timeoutMs: 5000,
            sloMs: 300,
            maxAttempts: 2,
            priority: 0,
            allowResume: true,
            gapTargetMs: 250,
            affinity: true,
        },
        {
            name: "receipt",
            prefix: "/receipt/",
            routeKind: "non_idempotent",
            service: LEDGER,
            timeoutMs: 3000,
            sloMs: 300,
            maxAttempts: 1,
            priority: 1,
        },
        {
            name: "assess",
            prefix: BATCH_PATH,
            routeKind: "batch",
            service: MODEL,
            timeoutMs: 15_000,
            sloMs: 400,
            maxAttempts: 3,
            priority: 2,
            allowResume: true,
            gapTargetMs: 250,
            runTargetMs: 18_000,
            retentionS: 60,
            maxCount: 0,
            affinity: true,
        },
    ];
    return {
        version: overrides.version ?? 7,
        routes: routes.map(route => ({ host: HOST, ...route, ...overrides[route.name] })),
        services: [{ name: MODEL, maxConns: 230 }, { name: LEDGER, maxConns: 100 }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    };
}
