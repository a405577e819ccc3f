/** A manifest with one batch route, as `fleetbench wire` shows it, for the host `jobs.example`. */
export function batchManifest({ maxConns = 230, maxCount = 1_500_000 } = {}) {
    return {
        version: 7,
        routes: [{
            name: "r-jobs",
            host: "jobs.example",
            prefix: "/jobs/",
            routeKind: "batch",
            timeoutMs: 15_000,
            sloMs: 400,
            priority: 2,
            service: "lm",
            maxAttempts: 3,
            runTargetMs: 18_000,
            retentionS: 60,
            maxCount,
            affinity: true,
            allowResume: true,
            gapTargetMs: 250,
        }],
        services: [{ name: "lm", healthPath: "/health", maxConns, protocol: "h1", tls: false }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    };
}
