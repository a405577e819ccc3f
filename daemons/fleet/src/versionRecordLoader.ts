import type { Clock } from "@knapweedwood/core.clock/clock";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { Random } from "@knapweedwood/core.random/random";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { UpstreamFollower } from "./upstreamFollower.js";
import { versionRecordCall } from "./versionRecordCall.js";

/** Number of runners asked each time that this process begins to receive every change of the upstreams. */
const RUNNERS_ASKED = 4;
const CALL_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 450;

interface VersionRecordLoaderOptions {
    clock: Clock;
    random: Random;
    logger: Logger;
    endpoint: LinkEndpoint;
    /** Returns the addresses of the runners without this process, shape [runners]. */
    runners: () => HostPort[];
    upstreams: Pick<UpstreamFollower, "adoptVersionRecord" | "mirror">;
}

/**
 * Asks a few runners which software versions ran before this process began to follow the upstreams, so that it can tell
 * at which one a stream of unknown origin began.
 */
export class VersionRecordLoader {
    private readonly opts: VersionRecordLoaderOptions;
    private ownSinceMs = Infinity;
    private calls = 0;
    private askedAtMs = -Infinity;
    private isAsking = false;
    private position: number;

    constructor(opts: VersionRecordLoaderOptions) {
        this.opts = opts;
        this.position = opts.random.nextInteger(2 ** 16);
    }

    /** Asks a runner if one is due. Called periodically. */
    tick(): void {
        const nowMs = this.opts.clock.nowMs();
        const ownSinceMs = this.opts.upstreams.mirror.gaplessSinceMs;
        if (ownSinceMs !== this.ownSinceMs) {
            this.ownSinceMs = ownSinceMs;
            this.calls = 0;
        }
        const isDue = ownSinceMs !== Infinity && this.calls < RUNNERS_ASKED;
        if (isDue && !this.isAsking && nowMs >= this.askedAtMs + CALL_INTERVAL_MS) {
            void this.askNext(nowMs);
        }
    }

    private async askNext(nowMs: number): Promise<void> {
        const runners = this.opts.runners();
        const runner = runners[this.position % runners.length];
        this.calls += 1;
        this.position += 1;
        this.askedAtMs = nowMs;
        if (runner === undefined) {
            return;
        }
        this.isAsking = true;
        try {
            const link = this.opts.endpoint.connect(`${runner.host}:${runner.port}`);
            const { record } = await singleFrame(link.call(versionRecordCall, {}, { timeoutMs: CALL_TIMEOUT_MS }));
            if (record !== undefined) {
                this.opts.upstreams.adoptVersionRecord(record, nowMs);
            }
        }
        catch (thrown) {
            const { code } = toKnapweedError(thrown);
            this.opts.logger.debug("versions-not-asked", { runner: runner.host, code });
        }
        this.isAsking = false;
    }
}
