import type { Logger } from "@knapweedwood/observability.logs/logger";

/**
 * Starts a process and stops it gracefully on SIGTERM or SIGINT. A second signal exits at once, with exit code 1.
 * Unhandled rejections are logged and don't end the process. Rejects if `start` rejects.
 */
export async function runDaemon(opts: {
    start: () => Promise<unknown>;
    stop: () => Promise<void>;
    logger: Logger;
}): Promise<void> {
    const { logger } = opts;
    let isStopping = false;
    const onSignal = (signal: NodeJS.Signals) => {
        if (isStopping) {
            logger.warn("process-exit-at-once", { signal });
            process.exit(1);
        }
        isStopping = true;
        logger.info("process-stopping", { signal });
        opts.stop().then(
            () => process.exit(0),
            (error: unknown) => {
                logger.error("process-stop-failed", { error: String(error) });
                process.exit(1);
            },
        );
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
    process.on("unhandledRejection", error => {
        logger.error("process-unhandled-rejection", {
            error: String(error),
            stack: (error as Error | undefined)?.stack,
        });
    });
    await opts.start();
}
