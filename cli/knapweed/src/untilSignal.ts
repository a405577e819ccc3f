/** Resolves at the first SIGINT or SIGTERM. */
export function untilSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGINT", () => resolve());
        process.once("SIGTERM", () => resolve());
    });
}
