import type { Clock } from "@knapweedwood/core.clock/clock";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { Random } from "@knapweedwood/core.random/random";
import { fleetSnapshotCall } from "@knapweedwood/fleet.sync/fleetSnapshotCall";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { OperatorsFollower } from "./operatorsFollower.js";

/** Time that the key-value service has to deliver a change before a runner is asked, in milliseconds. */
const KEY_VALUE_WAIT_MS = 300;
/** Minimum time between two calls, in milliseconds. */
const CALL_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 450;
/** Time after the start in which runners are asked until one answers, in milliseconds. */
const CONFIRMATION_WAIT_MS = 2000;

interface ConfigurationCatchUpOptions {
    clock: Clock;
    random: Random;
    logger: Logger;
    endpoint: LinkEndpoint;
    operators: Pick<OperatorsFollower, "adoptFrom" | "configurationRevision" | "isOutdated">;
    /** Returns the addresses of the runners without this process, shape [runners]. */
    runners: () => HostPort[];
    /** Returns whether this process has reached the key-value service a short time ago. */
    isKeyValueReachable: () => boolean;
}

/**
 * Asks runners for the configuration while this process can't be certain to have the newest one from the key-value
 * service: one at a time, the next one if a runner fails or has nothing newer. After a start it asks once in any case,
 * since the first listing may come from a replica of the service that lags behind.
 */
export class ConfigurationCatchUp {
    private readonly opts: ConfigurationCatchUpOptions;
    private readonly startedAtMs: number;
    private outdatedSinceMs: number | undefined;
    private askedAtMs = -Infinity;
    private isAsking = false;
    private hasAnswer = false;
    private position: number;
    private preferred: HostPort | undefined;
    /** False after the preferred runner has failed, so that another one is asked next. */
    private mayPrefer = true;

    constructor(opts: ConfigurationCatchUpOptions) {
        this.opts = opts;
        this.startedAtMs = opts.clock.nowMs();
        // Spreads the processes over the runners.
        this.position = opts.random.nextInteger(2 ** 16);
    }

    /**
     * Whether a runner has answered since the start of this process.
     *
     * @param maxWaitMs time after the start from which no runner is waited for any more, in milliseconds
     */
    isConfirmed(maxWaitMs: number): boolean {
        const waitMs = Math.min(maxWaitMs, CONFIRMATION_WAIT_MS);
        return this.hasAnswer || this.opts.clock.nowMs() >= this.startedAtMs + waitMs
            || this.opts.runners().length === 0;
    }

    /** Asks a runner that is known to have a newer configuration before the others. */
    prefer(runner: HostPort | undefined): void {
        this.preferred = runner ?? this.preferred;
    }

    /** Asks a runner if one is due. Called periodically. */
    tick(): void {
        const nowMs = this.opts.clock.nowMs();
        const { operators, isKeyValueReachable } = this.opts;
        this.outdatedSinceMs = operators.isOutdated || !isKeyValueReachable()
            ? this.outdatedSinceMs ?? nowMs
            : undefined;
        const isOutdated = this.outdatedSinceMs !== undefined && nowMs >= this.outdatedSinceMs + KEY_VALUE_WAIT_MS;
        const isDue = isOutdated || !this.isConfirmed(Infinity);
        if (isDue && !this.isAsking && nowMs >= this.askedAtMs + CALL_INTERVAL_MS) {
            void this.askNext();
        }
    }

    private async askNext(): Promise<void> {
        const preferred = this.mayPrefer ? this.preferred : undefined;
        const runners = this.opts.runners();
        const runner = preferred ?? runners[this.position % runners.length];
        if (runner === undefined) {
            return;
        }
        this.preferred = undefined;
        this.isAsking = true;
        this.askedAtMs = this.opts.clock.nowMs();
        const isNewer = await this.ask(runner);
        this.mayPrefer = isNewer || preferred === undefined;
        this.position += isNewer || preferred !== undefined ? 0 : 1;
        this.isAsking = false;
    }

    /** Returns whether the runner had a newer configuration. */
    private async ask(runner: HostPort): Promise<boolean> {
        try {
            const { endpoint, operators } = this.opts;
            const link = endpoint.connect(`${runner.host}:${runner.port}`);
            const request = { configurationAfter: operators.configurationRevision };
            const { snapshot } = await singleFrame(
                link.call(fleetSnapshotCall, request, { timeoutMs: CALL_TIMEOUT_MS }),
            );
            this.hasAnswer = true;
            return snapshot !== undefined
                && operators.adoptFrom({ kind: "peer", name: runner.host }, snapshot.operators);
        }
        catch (thrown) {
            const { code } = toKnapweedError(thrown);
            this.opts.logger.debug("configuration-not-asked", { runner: runner.host, code });
            return false;
        }
    }
}
