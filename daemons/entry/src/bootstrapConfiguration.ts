import { ensureBootstrapConfiguration } from "@knapweedwood/api.operators/ensureBootstrapConfiguration";
import type { ConfigurationPublisher } from "@knapweedwood/config.publishing/configurationPublisher";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { EntryProcessOptions } from "./entryProcessOptions.js";

const RETRY_MS = 1000;

/**
 * Publishes a first configuration with the platform operator's key from the settings, unless a configuration exists.
 * Retries until it succeeds or the signal is aborted. Does nothing if the settings contain no key.
 */
export async function bootstrapConfiguration(
    opts: EntryProcessOptions & { publisher: ConfigurationPublisher; signal: AbortSignal; },
): Promise<void> {
    const { settings, publisher, clock, logger, signal } = opts;
    const platformKeyHash = settings.bootstrapKeyHash;
    if (platformKeyHash === undefined) {
        return;
    }
    while (!signal.aborted) {
        try {
            await ensureBootstrapConfiguration({ publisher, platformKeyHash });
            return;
        }
        catch (error) {
            logger.warn("bootstrap-failed", { error: String(error) });
            await sleep(clock, RETRY_MS, signal);
        }
    }
}
