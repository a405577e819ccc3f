import { configurationKeys } from "@knapweedwood/config.publishing/configurationKeys";
import type { ConfigurationRoot } from "@knapweedwood/config.publishing/configurationRoot";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const POLL_PERIOD_MS = 1_000;
const POLL_JITTER_MS = 200;

/**
 * Follows the root of the configuration in the key-value service. A watch reports changes quickly. Periodic reads find
 * changes that a lost or silent watch missed.
 */
export class RootWatcher {
    private readonly keyValue: KeyValueService;
    private readonly clock: Clock;
    private readonly random: Random;
    private readonly logger: Logger;
    private readonly onRoot: (root: ConfigurationRoot) => void;
    private aborter: AbortController | undefined;

    constructor(opts: {
        keyValue: KeyValueService;
        clock: Clock;
        random: Random;
        logger: Logger;
        onRoot: (root: ConfigurationRoot) => void;
    }) {
        this.keyValue = opts.keyValue;
        this.clock = opts.clock;
        this.random = opts.random;
        this.logger = opts.logger;
        this.onRoot = opts.onRoot;
    }

    get isRunning(): boolean {
        return this.aborter !== undefined;
    }

    /** Starts to follow the root. Has no effect if it is already running. */
    start(): void {
        if (this.aborter === undefined) {
            this.aborter = new AbortController();
            void this.pollLoop(this.aborter.signal);
            void this.watchLoop(this.aborter.signal);
        }
    }

    stop(): void {
        this.aborter?.abort();
        this.aborter = undefined;
    }

    /** Reads the root once. Rejects if the key-value service is unavailable. */
    async read(): Promise<void> {
        const entry = await this.keyValue.get(configurationKeys.root);
        if (entry !== undefined) {
            this.report(entry);
        }
    }

    private async pollLoop(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.attempt("configuration-root-read-failed", () => this.read());
            await this.pause(signal);
        }
    }

    private async watchLoop(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.attempt("configuration-watch-lost", () => this.watchOnce(signal));
            await this.pause(signal);
        }
    }

    private async watchOnce(signal: AbortSignal): Promise<void> {
        const { revision } = await this.keyValue.transact([], []);
        await this.read();
        const batches = this.keyValue.watch(configurationKeys.root, { afterRevision: revision, signal });
        for await (const batch of batches) {
            batch.puts.forEach(entry => this.report(entry));
        }
    }

    private report(entry: KeyValueEntry): void {
        this.onRoot(JSON.parse(new TextDecoder().decode(entry.value)) as ConfigurationRoot);
    }

    private async attempt(event: string, action: () => Promise<void>): Promise<void> {
        try {
            await action();
        }
        catch (thrown) {
            this.logger.debug(event, { error: String(thrown) });
        }
    }

    private pause(signal: AbortSignal): Promise<void> {
        return sleep(this.clock, POLL_PERIOD_MS + this.random.nextInteger(POLL_JITTER_MS), signal);
    }
}
