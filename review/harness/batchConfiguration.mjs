/** Host of all routes. */
export const HOST = "h.example";
/** Prefix of the batch route, under which jobs are submitted and items run. */
export const BATCH_PREFIX = "/lots/";
export const SERVICE = "lm";
/** Prefix of an idempotent route, and its service. */
export const APP_PREFIX = "/app/";
export const APP_SERVICE = "app";

/** Returns a manifest with the batch route and the idempotent route of the site `caroni-alloc`. */
export function batchConfiguration(version = 1) {
    return {
        version,
        routes: [{
            name: "r-batch",
            host: HOST,
            prefix: BATCH_PREFIX,
            routeKind: "batch",
            service: SERVICE,
            timeoutMs: 15_000,
            sloMs: 400,
            maxAttempts: 3,
            priority: 2,
            allowResume: true,
            gapTargetMs: 250,
            runTargetMs: 18_000,
            retentionS: 60,
            maxCount: 1_500_000,
            affinity: true,
        }, {
            name: "r-app",
            host: HOST,
            prefix: APP_PREFIX,
            routeKind: "idempotent",
            service: APP_SERVICE,
            timeoutMs: 3000,
            sloMs: 300,
            maxAttempts: 2,
            priority: 2,
        }],
        services: [
            { name: SERVICE, maxConns: 230, healthPath: "/health" },
            { name: APP_SERVICE, maxConns: 100, healthPath: "/health" },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    };
}

/** Returns the request that submits a batch job. */
export function submission(jobId, itemCount) {
    const items = Array.from({ length: itemCount }, (_, index) => ({
        id: `${jobId}${String(index).padStart(2, "0")}`,
        path: `${BATCH_PREFIX}0/${index}`,
        headers: { "X-Model": "m", "X-Token-Counts": "350,200", "X-Prompt-Prefix": `9c2e41:100,5d${index}b8:250` },
        body: "q83vEjRWeJA=",
        tokenCount: 550,
    }));
    return {
        method: "POST",
        path: `${BATCH_PREFIX}${jobId}`,
        headers: { host: HOST, "x-request-id": jobId, "content-type": "application/json", "x-deadline-ms": "4000" },
        body: JSON.stringify({ items }),
    };
}
