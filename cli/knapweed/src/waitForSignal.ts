/** Resolves when the process receives SIGINT or SIGTERM. */
export function waitForSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGINT", () => resolve());
        process.once("SIGTERM", () => resolve());
    });
}
